package cfgsvc

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

func newPlatform(t *testing.T) *Platform {
	t.Helper()
	p := &Platform{ListenAddr: "127.0.0.1:0", ControlAddr: "127.0.0.1:0"}
	if err := p.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.readerListener.Close()
		_ = p.controlListener.Close()
	})
	return p
}

func get(t *testing.T, p *Platform, path string, out any) int {
	t.Helper()
	w := httptest.NewRecorder()
	p.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			t.Fatalf("%s: %v in %s", path, err, w.Body)
		}
	}
	return w.Code
}

func publish(t *testing.T, p *Platform, n yuccahinge.TicketNumber, date string) {
	t.Helper()
	err := p.Publish(&yuccahinge.Ticket{
		Number:    n,
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{"feasts": {Holidays: []string{date}}},
	}, false)
	if err != nil {
		t.Fatal(err)
	}
}

func TestStateAppliesTickets(t *testing.T) {
	p := newPlatform(t)
	publish(t, p, 1, "2026-12-04")
	publish(t, p, 2, "2026-12-05")
	var s yuccahinge.State
	get(t, p, "/v1/state", &s)
	if s.Ticket != 2 || s.Calendars["feasts"].Holidays[0] != "2026-12-05" {
		t.Fatalf("state %+v", s)
	}
}

func TestStateStopsBeforeInvalidTicket(t *testing.T) {
	p := newPlatform(t)
	publish(t, p, 1, "2026-12-04")
	publish(t, p, 2, "no date")
	publish(t, p, 3, "2026-12-05")
	var s yuccahinge.State
	get(t, p, "/v1/state", &s)
	if s.Ticket != 1 || s.Calendars["feasts"].Holidays[0] != "2026-12-04" {
		t.Fatalf("state %+v", s)
	}
}

func TestStaleServesOlderTicket(t *testing.T) {
	p := newPlatform(t)
	publish(t, p, 1, "2026-12-04")
	publish(t, p, 2, "2026-12-05")
	p.UpdateFaults(func(f *Faults) { f.Stale = &Stale{Head: 1} })
	var h Head
	get(t, p, "/v1/head", &h)
	if h.Head != 1 {
		t.Fatalf("head %d", h.Head)
	}
	if code := get(t, p, "/v1/tickets/2", nil); code != http.StatusNotFound {
		t.Fatalf("ticket 2: status %d, want 404", code)
	}
}

func TestWatchReturnsOnPublish(t *testing.T) {
	p := newPlatform(t)
	heads := make(chan Head, 1)
	go func() {
		var h Head
		w := httptest.NewRecorder()
		p.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/head?after=0&waitMs=60000", nil))
		_ = json.Unmarshal(w.Body.Bytes(), &h)
		heads <- h
	}()
	for p.Counters().PendingWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	publish(t, p, 1, "2026-12-04")
	if h := <-heads; h.Head != 1 {
		t.Fatalf("head %d", h.Head)
	}
	if reads := p.Counters().ReadsByKind["head"]; reads != 1 {
		t.Fatalf("one watch counted as %d reads", reads)
	}
}

func TestPublishConflictNeedsForce(t *testing.T) {
	p := newPlatform(t)
	publish(t, p, 1, "2026-12-04")
	other := &yuccahinge.Ticket{Number: 1, Note: "other"}
	if err := p.Publish(other, false); err == nil {
		t.Fatal("a published number was accepted again without force")
	}
	if err := p.Publish(other, true); err != nil {
		t.Fatal(err)
	}
	var got yuccahinge.Ticket
	get(t, p, "/v1/tickets/1", &got)
	if got.Note != "other" {
		t.Fatalf("ticket %+v", got)
	}
}

func TestTicketAboveMaximumSizeIsRefused(t *testing.T) {
	p := newPlatform(t)
	if err := p.Publish(&yuccahinge.Ticket{Number: 1, Note: strings.Repeat("x", maxTicketBytes)}, false); err == nil {
		t.Fatal("a ticket above the maximum size was accepted")
	}
}

func TestBudgetRefusesExcessReads(t *testing.T) {
	var w fixedWindow
	now := time.Unix(1000, 0)
	for range readBudgetPerSecond {
		if !w.allow(now) {
			t.Fatal("refused a read within the budget")
		}
	}
	if w.allow(now) {
		t.Fatal("accepted a read above the budget")
	}
	if !w.allow(now.Add(time.Second)) {
		t.Fatal("refused a read in the next second")
	}
}

func TestMembershipChangeIsDelayed(t *testing.T) {
	p := newPlatform(t)
	p.PutMembers(Members{Members: []yuccahinge.Member{{ID: "a"}}})
	p.PutMembers(Members{Members: []yuccahinge.Member{{ID: "b"}}, LagMs: 30_000})
	now := time.Now()
	if m := p.visibleMembers(now); len(m) != 1 || m[0].ID != "a" {
		t.Fatalf("members before the delay: %+v", m)
	}
	if m := p.visibleMembers(now.Add(31 * time.Second)); m[0].ID != "b" {
		t.Fatalf("members after the delay: %+v", m)
	}
}

func TestDownAnswers503(t *testing.T) {
	p := newPlatform(t)
	p.UpdateFaults(func(f *Faults) { f.Down = true })
	if code := get(t, p, "/v1/members", nil); code != http.StatusServiceUnavailable {
		t.Fatalf("status %d", code)
	}
}
