// Package reply provides the writing of JSON answers over HTTP.
package reply

import (
	"encoding/json"
	"net/http"
)

// JSON writes v with the status. A value that has no JSON form gives status 500; an error of the
// connection is the client's to notice.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
