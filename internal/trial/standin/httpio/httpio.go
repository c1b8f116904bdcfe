// Package httpio provides helpers of the stand-ins to serve JSON over HTTP.
package httpio

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/yuccahinge/yuccahinge/render"
)

// MaxBodyBytes is the maximum size of a request body in bytes.
const MaxBodyBytes = 16 << 20

// WriteJSON writes v as a JSON response with the status.
func WriteJSON(w http.ResponseWriter, status int, v any) { render.JSON(w, status, v) }

// WriteError writes err as a JSON response with the status; the text is the value of the key error.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, map[string]string{"error": err.Error()})
}

// ReadJSON decodes the JSON request body into v. If that fails, it answers with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

// Serve serves HTTP/1.1 and unencrypted HTTP/2 on ln until ctx ends, then closes all connections and returns nil.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, Protocols: Protocols()}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(ln)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Protocols returns the set of HTTP/1.1 and unencrypted HTTP/2.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
