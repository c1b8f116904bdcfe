// Package token provides the text form of claims: who granted one, in which life, and until when it holds.
package token

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

const (
	version = "c1"
	// separator can stand in a URL's path and in an HTTP header as it is.
	separator = "~"
	fields    = 6
	// maxText bounds the text form, in bytes.
	maxText = 256
	// maxName bounds a host id and an incarnation, in bytes.
	maxName = 64
	// nonceDigits is the length of the nonce, in hexadecimal digits.
	nonceDigits = 32
	// maxExpires keeps the expiry exact as a Millis, in milliseconds since the Unix epoch.
	maxExpires = 1 << 52
)

// Token is a claim taken apart. A zero Token has no text form.
type Token struct {
	Owner       yuccahinge.HostID
	Incarnation yuccahinge.Incarnation
	// Sequence counts the grants of the owner's life, from 1.
	Sequence uint64
	// Expires is the instant on the owner's clock from which the claim no longer starts a charge.
	Expires yuccahinge.Millis
	// Nonce makes the claim unguessable.
	Nonce [2]uint64
}

// Parse takes a claim apart. It accepts only the text that Format writes.
func Parse(id yuccahinge.ClaimID) (Token, error) {
	if len(id) > maxText {
		return Token{}, malformed("it is longer than 256 bytes")
	}
	parts := strings.Split(string(id), separator)
	if len(parts) != fields || parts[0] != version {
		return Token{}, malformed("it is not of the form c1~host~incarnation~sequence~expiry~nonce")
	}
	t := Token{Owner: yuccahinge.HostID(parts[1]), Incarnation: yuccahinge.Incarnation(parts[2])}
	sequence, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return Token{}, malformed("its sequence is not a number")
	}
	t.Sequence = sequence
	expires, err := strconv.ParseUint(parts[4], 10, 64)
	if err != nil || expires > maxExpires {
		return Token{}, malformed("its expiry is not an instant")
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
	if again, err := t.Format(); err != nil || again != id {
		return Token{}, malformed("it is not in its shortest form")
	}
	return t, nil
}

// Format returns the text form. It fails when the owner or the incarnation can't stand in one.
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
	if s == "" || len(s) > maxName {
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

func malformed(why string) error {
	return &yuccahinge.Error{
		Code: yuccahinge.CodeInvalid, Step: yuccahinge.StepClaim, Message: "claim is malformed: " + why, Outcome: yuccahinge.NotRun,
	}
}
