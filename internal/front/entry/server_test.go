package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

type fakeSearcher struct {
	ans *yuccahinge.SearchAnswer
	err error
}

func (f fakeSearcher) Search(context.Context, *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	return f.ans, f.err
}

type fakeCharger struct{}

func (fakeCharger) Grant(context.Context, yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error) {
	return yuccahinge.ClaimGrant{Claim: "c1", ExpiresMs: 1000}, nil
}

func (fakeCharger) Charge(_ context.Context, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	return &yuccahinge.ChargeAnswer{RequestID: r.RequestID, Claim: r.Claim, Outcome: yuccahinge.Unknown}, nil
}

func (fakeCharger) Lookup(_ context.Context, id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error) {
	return &yuccahinge.ChargeAnswer{Claim: id, Outcome: yuccahinge.Ran}, nil
}

func TestStatusAndOutcome(t *testing.T) {
	partial := &yuccahinge.SearchAnswer{
		RequestID: "q", Outcome: yuccahinge.Partial, Hits: []yuccahinge.Hit{},
		Coverage: yuccahinge.Coverage{Total: 2, Covered: []string{"0"}, Lacking: []yuccahinge.LackingShard{{Shard: 1, Reason: yuccahinge.ReasonTimeout}}},
	}
	empty := &yuccahinge.SearchAnswer{
		RequestID: "q", Outcome: yuccahinge.Partial, Hits: []yuccahinge.Hit{},
		Coverage: yuccahinge.Coverage{Total: 1, Lacking: []yuccahinge.LackingShard{{Reason: yuccahinge.ReasonTimeout}}},
	}
	noHits := &yuccahinge.SearchAnswer{RequestID: "q", Outcome: yuccahinge.Complete, Coverage: yuccahinge.Coverage{Total: 1, Covered: []string{"0"}}}
	shed := &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepAdmit, Message: "overload", Outcome: yuccahinge.NotRun}
	tests := []struct {
		name, method, path, claim, body string
		searcher                        fakeSearcher
		status                          int
		outcome                         yuccahinge.Outcome
	}{
		{name: "partial", method: "POST", path: "/v1/search/s", body: `{"query":"q"}`, searcher: fakeSearcher{ans: partial}, status: 200, outcome: yuccahinge.Partial},
		{name: "no shard", method: "POST", path: "/v1/search/s", body: `{"query":"q"}`, searcher: fakeSearcher{ans: empty}, status: 504, outcome: yuccahinge.Partial},
		{name: "no hits", method: "POST", path: "/v1/search/s", body: `{"query":"q"}`, searcher: fakeSearcher{ans: noHits}, status: 200, outcome: yuccahinge.Complete},
		{name: "shed", method: "POST", path: "/v1/search/s", body: `{"query":"q"}`, searcher: fakeSearcher{err: shed}, status: 503, outcome: yuccahinge.NotRun},
		{name: "malformed", method: "POST", path: "/v1/search/s", body: `{"query":`, status: 400, outcome: yuccahinge.NotRun},
		{name: "unknown field", method: "POST", path: "/v1/search/s", body: `{"query":1,"dedlineMs":5}`, status: 400, outcome: yuccahinge.NotRun},
		{name: "two values", method: "POST", path: "/v1/search/s", body: `{"query":1}{}`, status: 400, outcome: yuccahinge.NotRun},
		{name: "negative deadline", method: "POST", path: "/v1/search/s", body: `{"query":1,"deadlineMs":-1}`, status: 400, outcome: yuccahinge.NotRun},
		{name: "huge deadline", method: "POST", path: "/v1/search/s", body: `{"query":1,"deadlineMs":1e12}`, status: 400, outcome: yuccahinge.NotRun},
		{name: "oversized", method: "POST", path: "/v1/search/s", body: `{"query":"` + strings.Repeat("x", defaultMaxBodyBytes) + `"}`, status: 413, outcome: yuccahinge.NotRun},
		{name: "no claim", method: "POST", path: "/v1/charge/s", body: `{"key":"k"}`, status: 428, outcome: yuccahinge.NotRun},
		{name: "unknown charge", method: "POST", path: "/v1/charge/s", claim: "c1", body: `{"key":"k"}`, status: 504, outcome: yuccahinge.Unknown},
		{name: "lookup", method: "GET", path: "/v1/claims/c1", status: 200, outcome: yuccahinge.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Server{Searcher: tt.searcher, Charger: fakeCharger{}}
			r := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			r.Header.Set("Claim", tt.claim)
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			var got struct{ Outcome yuccahinge.Outcome }
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if w.Code != tt.status || got.Outcome != tt.outcome {
				t.Fatalf("got %d %s, want %d %s: %s", w.Code, got.Outcome, tt.status, tt.outcome, w.Body)
			}
			if s.InFlight() != 0 {
				t.Fatalf("%d requests in flight after the answer", s.InFlight())
			}
		})
	}
}

func TestCoverageHeader(t *testing.T) {
	w := httptest.NewRecorder()
	writeAnswer(w, &yuccahinge.SearchAnswer{Coverage: yuccahinge.Coverage{Total: 20, Lacking: make([]yuccahinge.LackingShard, 2)}})
	if got := w.Header().Get("Coverage"); got != "18/20" {
		t.Fatalf("coverage header is %q, want 18/20", got)
	}
}

func TestOverloadedHostReturnsNotRun(t *testing.T) {
	s := &Server{MaxInFlight: 1}
	s.inFlight.Add(1)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/search/s", strings.NewReader(`{}`)))
	if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), `"outcome":"notRun"`) {
		t.Fatalf("got %d %s", w.Code, w.Body)
	}
}

// TestRefusalTellsWhenToRetry guards against refusals of a leaving host whose callers don't know that they can retry at once.
func TestRefusalTellsWhenToRetry(t *testing.T) {
	w := httptest.NewRecorder()
	writeError(w, "r", &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepDrain, Outcome: yuccahinge.NotRun, RetryAfterMs: 10})
	if got := w.Header().Get("Retry-After"); w.Code != http.StatusServiceUnavailable || got != "0.010" {
		t.Errorf("status %d, Retry-After %q, want 503 and 0.010", w.Code, got)
	}
}

// TestUnavailableIsNoPromise guards against status 503, which callers take for a promise that nothing ran, beside an unknown outcome.
func TestUnavailableIsNoPromise(t *testing.T) {
	for outcome, want := range map[yuccahinge.Outcome]int{
		yuccahinge.NotRun: http.StatusServiceUnavailable, yuccahinge.Unknown: http.StatusGatewayTimeout, "": http.StatusGatewayTimeout,
	} {
		w := httptest.NewRecorder()
		writeError(w, "r", &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepDrain, Outcome: outcome})
		if w.Code != want {
			t.Errorf("outcome %q: status %d, want %d", outcome, w.Code, want)
		}
	}
	s := &Server{MaxInFlight: 1}
	s.inFlight.Add(1)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/charge/s", strings.NewReader(`{"key":"k"}`))
	r.Header.Set("Claim", "c1")
	s.Handler().ServeHTTP(w, r)
	if w.Code != http.StatusGatewayTimeout || !strings.Contains(w.Body.String(), `"outcome":"unknown"`) {
		t.Errorf("a charge whose claim another host may run got %d %s", w.Code, w.Body)
	}
}
