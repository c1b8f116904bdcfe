// Package ticket decodes and validates change tickets and applies them to states.
package ticket

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// MaxBytes is the largest encoded size of a ticket.
const MaxBytes = 1 << 20

// Decode decodes one ticket from JSON. It rejects unknown and repeated fields, trailing data and more than MaxBytes,
// with an error that names the field and the value. It does not validate the values; see Check.
func Decode(data []byte) (*yuccahinge.Ticket, error) {
	if len(data) > MaxBytes {
		return nil, tooLarge(len(data))
	}
	if err := checkKeys(data); err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	t := new(yuccahinge.Ticket)
	if err := dec.Decode(t); err != nil {
		return nil, decodeError(err)
	}
	return t, nil
}

func tooLarge(size int) error {
	return &yuccahinge.Error{
		Code:    yuccahinge.CodeTooLarge,
		Step:    yuccahinge.StepTicket,
		Message: fmt.Sprintf("the ticket has %d bytes, above the limit of %d", size, MaxBytes),
	}
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return invalid(typeErr.Field, "%s cannot be decoded as %s", typeErr.Value, typeErr.Type)
	}
	return invalid("ticket", "%s", strings.TrimPrefix(err.Error(), "json: "))
}

// checkKeys rejects trailing data, and repeated keys, which encoding/json would merge into one.
func checkKeys(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := checkValue(dec, "ticket"); err != nil {
		return err
	}
	end := dec.InputOffset()
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return invalid("ticket", "data follows the ticket at byte %d", end)
	}
	return nil
}

func checkValue(dec *json.Decoder, path string) error {
	token, err := dec.Token()
	if err != nil {
		return invalid(path, "%s", err)
	}
	switch token {
	case json.Delim('{'):
		return checkObject(dec, path)
	case json.Delim('['):
		return checkArray(dec, path)
	}
	return nil
}

func checkObject(dec *json.Decoder, path string) error {
	// encoding/json matches field names case-insensitively, so keys that differ only in case are repeated too.
	seen := make(map[string]bool)
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return invalid(path, "%s", err)
		}
		key, _ := token.(string)
		lower := strings.ToLower(key)
		if seen[lower] {
			return invalid(path, "the key %q is repeated", key)
		}
		seen[lower] = true
		if err := checkValue(dec, path+"."+key); err != nil {
			return err
		}
	}
	return closeValue(dec, path)
}

func checkArray(dec *json.Decoder, path string) error {
	for i := 0; dec.More(); i++ {
		if err := checkValue(dec, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return closeValue(dec, path)
}

func closeValue(dec *json.Decoder, path string) error {
	if _, err := dec.Token(); err != nil {
		return invalid(path, "%s", err)
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return &yuccahinge.Error{
		Code:    yuccahinge.CodeInvalid,
		Step:    yuccahinge.StepTicket,
		Message: field + ": " + fmt.Sprintf(format, args...),
	}
}
