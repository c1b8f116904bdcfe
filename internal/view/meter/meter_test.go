package meter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestHandlerServesEventsRequestsAndGauges(t *testing.T) {
	var m Meter
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	if err := m.Gauge("yuccahinge.ticket", "Ticket in force.", func() float64 { return 7 }); err != nil {
		t.Fatal(err)
	}
	m.CountAttempt(Attempt{Cause: "hedge", Limited: true})
	m.CountEvent(yuccahinge.Event{Code: 401, Name: "ticketInForce"})
	h := m.Instrument(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`yuccahinge_events_total{code="401",name="ticketInForce"} 1`,
		`yuccahinge_ticket 7`,
		`yuccahinge_attempts_total{cause="hedge",limited="true"} 1`,
		`status="418"`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("metrics do not contain %s:\n%s", want, w.Body)
		}
	}
}
