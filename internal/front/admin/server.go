// Package admin serves the operators' HTTP routes of an entry host: status, tickets, state, events, metrics and profiles.
package admin

import (
	"net/http"
	"net/http/pprof"
	"strconv"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/render"
)

// eventsPerPage is the maximum number of events in one response.
const eventsPerPage = 5000

// eventRing holds the recent events of the host. Since returns the events from number seq on and the next number.
type eventRing interface {
	Since(seq uint64) ([]yuccahinge.Event, uint64)
}

// Server serves operators over HTTP, at an address separate from that of callers. Set all fields before the first request.
type Server struct {
	Status       func() yuccahinge.HostStatus
	Confirmation func(n yuccahinge.TicketNumber) yuccahinge.Confirmation
	States       yuccahinge.StateProvider
	Events       eventRing
	Metrics      http.Handler
}

// Handler returns the handler of the operators' routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/tickets/{n}", s.ticket)
	mux.HandleFunc("GET /v1/state", s.state)
	mux.HandleFunc("GET /v1/events", s.events)
	mux.Handle("GET /metrics", s.Metrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	render.JSON(w, http.StatusOK, s.Status())
}

func (s *Server) ticket(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.PathValue("n"), 10, 64)
	if err != nil || n == 0 {
		render.JSON(w, http.StatusBadRequest, errorBody("ticket number "+strconv.Quote(r.PathValue("n"))+" is not a positive whole number"))
		return
	}
	render.JSON(w, http.StatusOK, s.Confirmation(yuccahinge.TicketNumber(n)))
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	st, _ := s.States.State()
	if st == nil {
		render.JSON(w, http.StatusServiceUnavailable, errorBody("no state is in force yet"))
		return
	}
	render.JSON(w, http.StatusOK, st)
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if text := r.URL.Query().Get("since"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			render.JSON(w, http.StatusBadRequest, errorBody("since "+strconv.Quote(text)+" is not a whole number"))
			return
		}
		since = n
	}
	got, next := s.Events.Since(since)
	if len(got) > eventsPerPage {
		got = got[:eventsPerPage]
		next = got[eventsPerPage-1].Seq + 1
	}
	if got == nil {
		got = []yuccahinge.Event{}
	}
	render.JSON(w, http.StatusOK, yuccahinge.EventPage{Events: got, Next: next})
}

func errorBody(message string) any {
	type detail struct {
		Code    yuccahinge.Code `json:"code"`
		Message string          `json:"message"`
	}
	return struct {
		Error detail `json:"error"`
	}{detail{yuccahinge.CodeInvalid, message}}
}
