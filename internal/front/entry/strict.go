package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

var errTrailing = errors.New("data after the JSON value")

// decodeStrict decodes one JSON value. Unknown fields and trailing data are errors.
func decodeStrict(body []byte, v any) error {
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
