package entry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// TestRefusalWithClaimHasUnknownOutcome sends requests that this host refuses. Another host may run the charge of their
// claim, so only requests without a claim certainly did not run.
func TestRefusalWithClaimHasUnknownOutcome(t *testing.T) {
	huge := `"` + strings.Repeat("x", defaultMaxBodyBytes) + `"`
	for _, c := range []struct {
		name, method, path, claim, id, body string
		crowded                             bool
		want                                yuccahinge.Outcome
	}{
		{name: "crowded", method: "POST", path: "/v1/charge/s", claim: "c1", body: `{}`, crowded: true, want: yuccahinge.Unknown},
		{name: "crowded without claim", method: "POST", path: "/v1/charge/s", body: `{}`, crowded: true, want: yuccahinge.NotRun},
		{name: "crowded lookup", method: "GET", path: "/v1/claims/c1", crowded: true, want: yuccahinge.Unknown},
		{name: "crowded search", method: "POST", path: "/v1/search/s", body: `{}`, crowded: true, want: yuccahinge.NotRun},
		{name: "malformed", method: "POST", path: "/v1/charge/s", claim: "c1", body: `{`, want: yuccahinge.Unknown},
		{name: "oversized", method: "POST", path: "/v1/charge/s", claim: "c1", body: huge, want: yuccahinge.Unknown},
		{name: "bad request id", method: "POST", path: "/v1/charge/s", claim: "c1", id: "a b", body: `{}`, want: yuccahinge.Unknown},
		{name: "bad request id of a lookup", method: "GET", path: "/v1/claims/c1", id: "a b", want: yuccahinge.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Server{Charger: fakeCharger{}, MaxInFlight: 1}
			if c.crowded {
				s.inFlight.Store(1)
			}
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			if c.claim != "" {
				r.Header.Set("Claim", c.claim)
			}
			if c.id != "" {
				r.Header.Set("Request-Id", c.id)
			}
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			if want := `"outcome":"` + string(c.want) + `"`; !strings.Contains(w.Body.String(), want) {
				t.Errorf("body is %s, want %s", w.Body, want)
			}
		})
	}
}

func TestDrainingHostClosesCallerConnections(t *testing.T) {
	for _, draining := range []bool{false, true} {
		s := Server{Charger: fakeCharger{}, Draining: func() bool { return draining }}
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/v1/claims/c1", nil))
		if got := w.Header().Get("Connection") == "close"; got != draining || w.Code != 200 {
			t.Errorf("draining is %v, status %d, Connection: close is %v", draining, w.Code, got)
		}
	}
}
