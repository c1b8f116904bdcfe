// Package render writes JSON responses over HTTP.
package render

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// JSON writes v as the response body with the status. If v cannot be encoded as JSON, the status is 500. Write
// errors are ignored: the client notices that its connection failed.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
