package merge

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in bytes. Records are compared bytewise.
const RecordBytes = 16

// TopRecords returns the greatest n records of all parts in descending order, concatenated. A part is a concatenation
// of records in any order; an incomplete record at its end is ignored. Equal records count separately.
func TopRecords(n int, parts [][]byte) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / RecordBytes
	}
	n = min(n, total)
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

// insertRecord inserts a record in descending order and drops the least record if top is full.
func insertRecord(top [][]byte, r []byte) [][]byte {
	pos, _ := slices.BinarySearchFunc(top, r, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(top) < cap(top) {
		top = append(top, nil)
	}
	copy(top[pos+1:], top[pos:])
	top[pos] = r
	return top
}
