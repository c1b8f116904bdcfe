// Package wire holds what the stand-ins share to speak JSON over HTTP.
package wire

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/yuccahinge/yuccahinge/reply"
)

// MaxBody bounds the bytes of a request's body.
const MaxBody = 16 << 20

// Reply writes v as JSON with the status.
func Reply(w http.ResponseWriter, status int, v any) { reply.JSON(w, status, v) }

// Problem writes an error as JSON with the status.
func Problem(w http.ResponseWriter, status int, err error) {
	Reply(w, status, map[string]string{"error": err.Error()})
}

// Decode reads the whole body into v. It answers 400 and returns false when that fails.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		Problem(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

// Serve answers on ln over HTTP/1.1 and clear-text HTTP/2 until ctx ends, then closes all connections.
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

// Protocols returns HTTP/1.1 and clear-text HTTP/2 on one port.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
