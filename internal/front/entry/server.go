// Package entry serves the HTTP routes of callers: searches, claims, charges and health checks.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/render"
)

// searcher runs searches.
type searcher interface {
	Search(ctx context.Context, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error)
}

// charger grants claims and runs charges under them.
type charger interface {
	Grant(ctx context.Context, r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error)
	Charge(ctx context.Context, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error)
	Lookup(ctx context.Context, id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error)
}

// Server serves callers over HTTP. Set all fields before the first request; Searcher and Charger are required.
type Server struct {
	Searcher searcher
	Charger  charger
	// Ready reports whether the balancer may send requests, and the reason if not; nil means always ready.
	Ready func() (bool, string)
	// Draining reports whether responses carry "Connection: close" because the host is draining; nil means never.
	Draining func() bool
	// MaxBodyBytes limits a request body, ReadTimeout the time to read it, MaxDeadline the deadline that a caller may
	// set, and MaxInFlight the number of concurrent requests. Zero means the default.
	MaxBodyBytes int64
	ReadTimeout  yuccahinge.Millis
	MaxDeadline  yuccahinge.Millis
	MaxInFlight  int

	inFlight atomic.Int64
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Handler returns the routes that callers use.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search/{service}", s.countInFlight(s.search))
	mux.HandleFunc("POST /v1/claims", s.countInFlight(s.grant))
	mux.HandleFunc("GET /v1/claims/{claim}", s.countInFlight(s.lookup))
	mux.HandleFunc("POST /v1/charge/{service}", s.countInFlight(s.charge))
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	return mux
}

type handler func(w http.ResponseWriter, r *http.Request, id yuccahinge.RequestID)

// countInFlight wraps a handler. It counts requests in progress, refuses those over the limit and checks the Request-Id.
func (s *Server) countInFlight(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		inFlight := s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if s.Draining != nil && s.Draining() {
			w.Header().Set("Connection", "close")
		}
		id, err := requestID(r)
		if err != nil {
			writeError(w, id, withUnknownOutcome(r, err))
			return
		}
		if inFlight > int64(s.maxInFlight()) {
			writeError(w, id, withUnknownOutcome(r, errOverloaded))
			return
		}
		h(w, r, id)
	}
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	render.JSON(w, http.StatusOK, health{Status: "live"})
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if s.Ready == nil {
		render.JSON(w, http.StatusOK, health{Status: "ready"})
		return
	}
	ok, reason := s.Ready()
	if !ok {
		render.JSON(w, http.StatusServiceUnavailable, health{Status: "unready", Reason: reason})
		return
	}
	render.JSON(w, http.StatusOK, health{Status: "ready"})
}
