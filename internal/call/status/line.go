// Package status reads the status lines of HTTP responses.
//
// It accepts the status codes of the protocol only, 100 to 599. net/http accepts any three characters that are a number, such as 000,
// 999 or +20.
package status

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of a response whose status line the protocol doesn't have.
var ErrInvalid = errors.New("invalid status line")

// maxQuoted bounds the bytes of a status line in an error.
const maxQuoted = 64

// Line is the status line of an HTTP response.
type Line struct {
	// Major and Minor are the version of the protocol.
	Major, Minor int
	Code         int
}

// IsInformational reports whether another response to the same request follows.
func (l Line) IsInformational() bool { return l.Code < http.StatusOK }

// Parse parses a status line, with or without its line end. Only its beginning is read, so that it may be cut within the reason phrase.
// The error is marked with ErrInvalid.
func Parse(text string) (Line, error) {
	version, rest, _ := strings.Cut(text, " ")
	code := strings.TrimLeft(rest, " ")
	if end := strings.IndexAny(code, " \r\n"); end >= 0 {
		code = code[:end]
	}
	if len(version) != len("HTTP/1.1") || version[:5] != "HTTP/" || !isDigit(version[5]) || version[6] != '.' || !isDigit(version[7]) {
		return Line{}, newError(text)
	}
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return Line{}, newError(text)
	}
	l := Line{Major: digit(version[5]), Minor: digit(version[7]), Code: 100*digit(code[0]) + 10*digit(code[1]) + digit(code[2])}
	if l.Code < 100 || l.Code > 599 {
		return Line{}, newError(text)
	}
	return l, nil
}

// ParseHTTP1 is Parse for a connection that carries HTTP/1, where a line of another version is invalid.
func ParseHTTP1(text string) (Line, error) {
	l, err := Parse(text)
	if err == nil && l.Major != 1 {
		return Line{}, newError(text)
	}
	return l, err
}

// Check returns an error marked with ErrInvalid if net/http returned a response with an invalid status line as the last one to its
// request. Argument http2 tells whether the connection carries HTTP/2.
func Check(resp *http.Response, http2 bool) error {
	text := resp.Proto + " " + resp.Status
	parse := ParseHTTP1
	if http2 {
		parse = Parse
	}
	l, err := parse(text)
	if err == nil && l.IsInformational() {
		return newError(text)
	}
	return err
}

// IsInvalid reports whether an error of this package or of net/http says that a status line is invalid. net/http has no type for such
// errors, so they are known by their texts.
func IsInvalid(err error) bool {
	if err == nil || errors.Is(err, ErrInvalid) {
		return err != nil
	}
	for _, text := range [...]string{"malformed HTTP response ", "malformed HTTP status code ", "malformed HTTP version "} {
		if strings.Contains(err.Error(), text) {
			return true
		}
	}
	return false
}

func newError(text string) error {
	text, _, _ = strings.Cut(text, "\n")
	return errors.Mark(errors.Newf("invalid status line %q", text[:min(len(text), maxQuoted)]), ErrInvalid)
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func digit(b byte) int { return int(b - '0') }
