package meter

import "net/http"

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader keeps the status and passes it on.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the writer below.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
