package merge

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record.
const RecordBytes = 16

// Records returns the greatest n records of all parts, the greatest first, as one run of bytes. A part is a run of
// records in any order; what is left over at its end is no record. Equal records all count.
func Records(n int, parts [][]byte) []byte {
	if n <= 0 {
		return nil
	}
	top := make([][]byte, 0, n)
	for _, p := range parts {
		for len(p) >= RecordBytes {
			r := p[:RecordBytes]
			p = p[RecordBytes:]
			if len(top) == n && bytes.Compare(r, top[n-1]) <= 0 {
				continue
			}
			top = insertRecord(top, r)
		}
	}
	return bytes.Join(top, nil)
}

// insertRecord puts a record into its place and drops the least one if there is no room.
func insertRecord(top [][]byte, r []byte) [][]byte {
	at, _ := slices.BinarySearchFunc(top, r, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(top) < cap(top) {
		top = append(top, nil)
	}
	copy(top[at+1:], top[at:])
	top[at] = r
	return top
}
