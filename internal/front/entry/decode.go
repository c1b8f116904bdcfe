package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// maxKeyBytes is the maximum length of a business key.
	maxKeyBytes = 256
	// maxRequestIDBytes is the maximum length of a caller's Request-Id.
	maxRequestIDBytes = 128
)

// decode reads the body within the limits of size and time and decodes it into v. The body must be one JSON value without
// unknown fields.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, v any) error {
	ctl := http.NewResponseController(w)
	// The error is ignored because test recorders have no connection and don't support deadlines.
	_ = ctl.SetReadDeadline(time.Now().Add(s.readTimeout().Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBodyBytes()))
	if err != nil {
		return bodyError(err)
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return unmarshal(body, v)
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return decodeError(yuccahinge.CodeTooLarge, fmt.Sprintf("body is larger than %d bytes", tooLarge.Limit), nil)
	}
	return decodeError(yuccahinge.CodeInvalid, "body did not arrive whole", err)
}

// requestID returns the caller's Request-Id, or a new one if it is missing. With an error it returns a new one too.
func requestID(r *http.Request) (yuccahinge.RequestID, error) {
	id := r.Header.Get("Request-Id")
	if id == "" {
		return newRequestID(), nil
	}
	if len(id) > maxRequestIDBytes {
		return newRequestID(), invalidError(fmt.Sprintf("Request-Id is longer than %d bytes", maxRequestIDBytes))
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return newRequestID(), invalidError("Request-Id has a space or a byte that is not printable ASCII: " + strconv.QuoteToASCII(id))
		}
	}
	return yuccahinge.RequestID(id), nil
}

func unmarshal(body []byte, v any) error {
	if raw, ok := v.(*json.RawMessage); ok {
		if !json.Valid(body) {
			return invalidError("body is not JSON")
		}
		*raw = body
		return nil
	}
	if err := decodeStrict(body, v); err != nil {
		return decodeError(yuccahinge.CodeInvalid, "body does not have the expected JSON form", err)
	}
	return nil
}
