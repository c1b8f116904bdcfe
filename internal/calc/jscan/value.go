// Package jscan splits JSON text into values without decoding them.
//
// A decoder refuses the whole text for one value that it can't represent: a number out of range, text that is not UTF-8, a
// repeated name, deep nesting. Values that are split first can be decoded one by one. Splitting takes no memory and no
// stack for nested values.
package jscan

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
)

var (
	errNotObject = errors.New("not an object")
	errNotArray  = errors.New("not an array")
	errMalformed = errors.New("malformed JSON")
)

// Value is the text of one JSON value. Only its extent is known to be right: brackets are balanced and strings end.
type Value []byte

// Parse returns the only value of a text.
func Parse(text []byte) (Value, error) {
	s := scanner{text: text}
	s.skipSpace()
	v, ok := s.value()
	if s.skipSpace(); !ok || s.at < len(text) {
		return nil, errMalformed
	}
	return v, nil
}

// IsNull reports whether the value is null or absent.
func (v Value) IsNull() bool { return len(v) == 0 || string(v) == "null" }

// Elements calls each for the elements of an array, in order. After an error the calls so far were for the elements before
// the malformed part.
func (v Value) Elements(each func(Value)) error {
	s := scanner{text: v}
	if !s.take('[') {
		return errNotArray
	}
	return s.list(']', func() bool {
		elem, ok := s.value()
		if ok {
			each(elem)
		}
		return ok
	})
}

// Members calls each for the members of an object, in order, repeated names included. The name must not be kept; it is nil if
// it has an invalid escape sequence. After an error the calls so far were for the members before the malformed part.
func (v Value) Members(each func(name []byte, value Value)) error {
	s := scanner{text: v}
	if !s.take('{') {
		return errNotObject
	}
	return s.list('}', func() bool {
		if s.peek() != '"' {
			return false
		}
		name, ok := s.value()
		if !ok {
			return false
		}
		if s.skipSpace(); !s.take(':') {
			return false
		}
		s.skipSpace()
		value, ok := s.value()
		if !ok {
			return false
		}
		text, isText := name.Text()
		if !isText {
			text = nil
		}
		each(text, value)
		return true
	})
}

// Text returns the text of a string, and false if the value is not a string or has an invalid escape sequence. Bytes that
// are not UTF-8 are kept. The text must not be changed.
func (v Value) Text() ([]byte, bool) {
	if len(v) < 2 || v[0] != '"' {
		return nil, false
	}
	inner := v[1 : len(v)-1]
	if bytes.IndexByte(inner, '\\') < 0 {
		return inner, true
	}
	text, err := jsontext.AppendUnquote(nil, []byte(v))
	return text, err == nil
}

// scanner finds the values in a text.
type scanner struct {
	text []byte
	at   int
}

// list scans values with commas between them up to the closing bracket, which ends the text. The function value scans one.
func (s *scanner) list(closing byte, value func() bool) error {
	if s.skipSpace(); s.take(closing) {
		return s.atEnd()
	}
	for {
		s.skipSpace()
		if !value() {
			return errMalformed
		}
		s.skipSpace()
		if s.take(closing) {
			return s.atEnd()
		}
		if !s.take(',') {
			return errMalformed
		}
	}
}

func (s *scanner) atEnd() error {
	if s.at < len(s.text) {
		return errMalformed
	}
	return nil
}

// value scans a value that begins here and reports whether there is one.
func (s *scanner) value() (Value, bool) {
	start := s.at
	var ok bool
	switch s.peek() {
	case '"':
		ok = s.skipString()
	case '{', '[':
		ok = s.skipNested()
	default:
		s.skipLiteral()
		ok = s.at > start
	}
	return Value(s.text[start:s.at]), ok
}

// skipNested skips an object or an array.
func (s *scanner) skipNested() bool {
	depth := 0
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case '"':
			if !s.skipString() {
				return false
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.at++
		if depth == 0 {
			return true
		}
	}
	return false
}

func (s *scanner) skipString() bool {
	start := s.at + 1
	for at := start; ; {
		n := bytes.IndexByte(s.text[at:], '"')
		if n < 0 {
			s.at = len(s.text)
			return false
		}
		at += n + 1
		// A quote after an odd number of backslashes is escaped.
		slashes := 0
		for at-2-slashes >= start && s.text[at-2-slashes] == '\\' {
			slashes++
		}
		if slashes%2 == 0 {
			s.at = at
			return true
		}
	}
}

// skipLiteral skips a number, true, false, null or what stands for one.
func (s *scanner) skipLiteral() {
	for s.at < len(s.text) && strings.IndexByte(" \t\r\n,:{}[]\"", s.text[s.at]) < 0 {
		s.at++
	}
}

func (s *scanner) skipSpace() {
	for s.at < len(s.text) && strings.IndexByte(" \t\r\n", s.text[s.at]) >= 0 {
		s.at++
	}
}

// peek returns the next byte, or zero at the end.
func (s *scanner) peek() byte {
	if s.at < len(s.text) {
		return s.text[s.at]
	}
	return 0
}

// take skips the next byte if it is c, and reports whether it is.
func (s *scanner) take(c byte) bool {
	if s.peek() != c || s.at == len(s.text) {
		return false
	}
	s.at++
	return true
}
