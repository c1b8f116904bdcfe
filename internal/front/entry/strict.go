package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

var errTrailing = errors.New("more than one JSON value")

// strict decodes one JSON value and refuses unknown fields and trailing data.
func strict(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}
