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
	// maxKeyBytes bounds a business key.
	maxKeyBytes = 256
	// maxRequestIDBytes bounds a caller's Request-Id.
	maxRequestIDBytes = 128
)

// decode fills v from the body: one JSON value without unknown fields, bounded in size and time.
func (f *Front) decode(w http.ResponseWriter, r *http.Request, v any) error {
	ctl := http.NewResponseController(w)
	// Recorders of tests have no connection and thus no deadline.
	_ = ctl.SetReadDeadline(time.Now().Add(f.readTimeout().Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.maxBodyBytes()))
	if err != nil {
		return bodyError(err)
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return unmarshal(body, v)
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(yuccahinge.CodeTooLarge, fmt.Sprintf("body is over %d bytes", tooLarge.Limit), nil)
	}
	return refusal(yuccahinge.CodeInvalid, "body did not arrive whole", err)
}

// requestID returns the caller's Request-Id, or a fresh one.
func requestID(r *http.Request) (yuccahinge.RequestID, error) {
	id := r.Header.Get("Request-Id")
	if id == "" {
		return freshID(), nil
	}
	if len(id) > maxRequestIDBytes {
		return freshID(), invalid(fmt.Sprintf("request-id is over %d bytes", maxRequestIDBytes))
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return freshID(), invalid("request-id has a byte that is not printable: " + strconv.QuoteToASCII(id))
		}
	}
	return yuccahinge.RequestID(id), nil
}

func unmarshal(body []byte, v any) error {
	if raw, ok := v.(*json.RawMessage); ok {
		if !json.Valid(body) {
			return invalid("body is not JSON")
		}
		*raw = body
		return nil
	}
	if err := strict(body, v); err != nil {
		return refusal(yuccahinge.CodeInvalid, "body is not as expected", err)
	}
	return nil
}
