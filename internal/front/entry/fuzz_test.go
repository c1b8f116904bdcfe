package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// FuzzBodies sends arbitrary bodies to any route. No status may be 500, a refused search must have the outcome notRun, and
// an accepted one must be within the limits.
func FuzzBodies(f *testing.F) {
	f.Add("POST", "/v1/search/s", `{"query":"q","deadlineMs":5,"minTicket":1}`)
	f.Add("POST", "/v1/claims", `{"service":"s","key":"k"}`)
	f.Add("POST", "/v1/charge/s", `{"key":"k"}`)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		r, err := http.NewRequest(method, "http://host"+path, strings.NewReader(body))
		if err != nil {
			return
		}
		server := &Server{Searcher: checkingSearcher{t}, Charger: fakeCharger{}}
		w := httptest.NewRecorder()
		server.Handler().ServeHTTP(w, r)
		if w.Code == http.StatusInternalServerError {
			t.Fatalf("%s %s %q got %d %s", method, path, body, w.Code, w.Body)
		}
		if w.Code == http.StatusBadRequest && strings.HasPrefix(path, "/v1/search/") && !strings.Contains(w.Body.String(), `"outcome":"notRun"`) {
			t.Fatalf("%s %q got %s", path, body, w.Body)
		}
	})
}

// checkingSearcher reports an error for a request that should have been refused.
type checkingSearcher struct{ t *testing.T }

func (s checkingSearcher) Search(_ context.Context, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	if len(r.Query) == 0 || r.DeadlineMs < 0 || r.DeadlineMs > defaultMaxDeadline {
		s.t.Errorf("request %+v reached the searcher, want it refused", r)
	}
	return &yuccahinge.SearchAnswer{RequestID: r.RequestID, Outcome: yuccahinge.Complete}, nil
}
