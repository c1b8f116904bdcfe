// Package token parses and formats the text form of claims: the host and incarnation that granted one, and its expiry.
package token

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

const (
	version = "c1"
	// separator needs no escaping in a URL path or an HTTP header.
	separator  = "~"
	fieldCount = 6
	// maxTextBytes is the largest text form, in bytes.
	maxTextBytes = 256
	// maxNameBytes is the longest host id or incarnation, in bytes.
	maxNameBytes = 64
	// nonceDigits is the length of the nonce, in hexadecimal digits.
	nonceDigits = 32
	// maxExpiresMs is the latest expiry, in milliseconds since the Unix epoch. A Millis represents all values up to it
	// exactly.
	maxExpiresMs = 1 << 52
)

// Token is a parsed claim. The zero value has no text form.
type Token struct {
	Owner       yuccahinge.HostID
	Incarnation yuccahinge.Incarnation
	// Sequence counts the claims granted by the owner's incarnation, from 1.
	Sequence uint64
	// Expires is the time on the owner's clock from which the claim can no longer start a charge.
	Expires yuccahinge.Millis
	// Nonce prevents a claim from being guessed.
	Nonce [2]uint64
}

// Parse parses a claim. It accepts only the exact text that Format returns.
func Parse(id yuccahinge.ClaimID) (Token, error) {
	if len(id) > maxTextBytes {
		return Token{}, malformed("it is longer than 256 bytes")
	}
	parts := strings.Split(string(id), separator)
	if len(parts) != fieldCount || parts[0] != version {
		return Token{}, malformed("it is not of the form c1~host~incarnation~sequence~expiry~nonce")
	}
	t := Token{Owner: yuccahinge.HostID(parts[1]), Incarnation: yuccahinge.Incarnation(parts[2])}
	sequence, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return Token{}, malformed("its sequence is not a number")
	}
	t.Sequence = sequence
	expires, err := strconv.ParseUint(parts[4], 10, 64)
	if err != nil || expires > maxExpiresMs {
		return Token{}, malformed("its expiry is not a number of milliseconds up to 2^52")
	}
	t.Expires = yuccahinge.Millis(expires)
	if len(parts[5]) != nonceDigits {
		return Token{}, malformed("its nonce is not 32 hexadecimal digits")
	}
	for i := range t.Nonce {
		digits := parts[5][i*16 : i*16+16]
		if t.Nonce[i], err = strconv.ParseUint(digits, 16, 64); err != nil {
			return Token{}, malformed("its nonce is not 32 hexadecimal digits")
		}
	}
	if canonical, err := t.Format(); err != nil || canonical != id {
		return Token{}, malformed("it is not in canonical form")
	}
	return t, nil
}

// Format returns the text form. It returns an error if the owner or the incarnation is empty, too long or has a
// character that the text form does not allow.
func (t Token) Format() (yuccahinge.ClaimID, error) {
	if !isName(string(t.Owner)) {
		return "", malformed("host id must be 1 to 64 letters, digits, dots, hyphens or underscores")
	}
	if !isName(string(t.Incarnation)) {
		return "", malformed("incarnation must be 1 to 64 letters, digits, dots, hyphens or underscores")
	}
	text := fmt.Sprintf("%s~%s~%s~%d~%d~%016x%016x",
		version, t.Owner, t.Incarnation, t.Sequence, uint64(t.Expires), t.Nonce[0], t.Nonce[1])
	return yuccahinge.ClaimID(text), nil
}

func isName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		if !isNameByte(c) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '.' || c == '-' || c == '_'
}

func malformed(reason string) error {
	return &yuccahinge.Error{
		Code: yuccahinge.CodeInvalid, Step: yuccahinge.StepClaim, Message: "claim is malformed: " + reason, Outcome: yuccahinge.NotRun,
	}
}
