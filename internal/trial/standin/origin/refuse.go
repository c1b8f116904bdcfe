package origin

import "net/http"

// Header fields of a searcher that wants no more requests.
const (
	HeaderLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
)

// SetLeaving makes all answers from now on say that the searcher leaves, or ends that.
func (s *Server) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// SetRetryAfter turns all requests away with status 503 and Retry-After from now on; an empty text ends that.
func (s *Server) SetRetryAfter(text string) { s.retryAfter.Store(&text) }

// refuse reports whether a request is turned away, and does so. It adds the header fields of a leaving searcher.
func refuse(w http.ResponseWriter, a *Arrival) bool {
	h := w.Header()
	if a.Leaving {
		h.Set(HeaderLeaving, "1")
	}
	if a.RetryAfter == "" {
		return false
	}
	h.Set(HeaderAttemptID, a.Attempt)
	h.Set("Yuccahinge-Not-Run", "1")
	h.Set(headerRetryAfter, a.RetryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
