package admin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

type fakeRing []yuccahinge.Event

func (f fakeRing) Since(seq uint64) ([]yuccahinge.Event, uint64) {
	return f[min(seq, uint64(len(f))):], uint64(len(f))
}

func get(t *testing.T, s *Server, path string, v any) int {
	t.Helper()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	if err := json.Unmarshal(w.Body.Bytes(), v); err != nil {
		t.Fatalf("%s: %v: %s", path, err, w.Body)
	}
	return w.Code
}

func TestEventsArePagedWithoutLoss(t *testing.T) {
	all := make(fakeRing, eventsPerPage+3)
	for i := range all {
		all[i].Seq = uint64(i)
	}
	s := &Server{Events: all, Metrics: http.NotFoundHandler()}
	var first, second yuccahinge.EventPage
	get(t, s, "/v1/events", &first)
	get(t, s, "/v1/events?since=5000", &second)
	if len(first.Events) != eventsPerPage || first.Next != eventsPerPage {
		t.Fatalf("first page has %d events and next %d", len(first.Events), first.Next)
	}
	if len(second.Events) != 3 || second.Events[0].Seq != eventsPerPage {
		t.Fatalf("second page is %v", second.Events)
	}
}

func TestInvalidNumbersAreRefused(t *testing.T) {
	s := &Server{Events: fakeRing{}, Metrics: http.NotFoundHandler()}
	for _, path := range []string{"/v1/tickets/x", "/v1/tickets/0", "/v1/tickets/-1", "/v1/events?since=x"} {
		var body struct{ Error struct{ Message string } }
		if code := get(t, s, path, &body); code != http.StatusBadRequest || body.Error.Message == "" {
			t.Errorf("%s: got %d %q", path, code, body.Error.Message)
		}
	}
}
