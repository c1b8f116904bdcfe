// Package entry provides the HTTP front that callers reach.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/reply"
)

// searcher answers searches.
type searcher interface {
	Search(ctx context.Context, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error)
}

// charger grants claims and runs charges under them.
type charger interface {
	Grant(ctx context.Context, r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error)
	Charge(ctx context.Context, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error)
	Lookup(ctx context.Context, id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error)
}

// Front serves callers. Set Searcher and Charger before the first request.
type Front struct {
	Searcher searcher
	Charger  charger
	// Ready reports whether the balancer may send requests, and why not.
	Ready func() (bool, string)
	// Leaving reports whether answers should ask callers to close their connections; nil for never.
	Leaving func() bool
	// MaxBodyBytes bounds a body, ReadTimeout the time it takes to arrive, MaxDeadline what a caller may
	// ask for, and MaxInFlight the requests served at once. Zero takes a default.
	MaxBodyBytes int64
	ReadTimeout  yuccahinge.Millis
	MaxDeadline  yuccahinge.Millis
	MaxInFlight  int

	inFlight atomic.Int64
}

// InFlight returns the number of requests that were begun and have not ended.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// Handler returns the routes that callers use.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search/{service}", f.counted(f.search))
	mux.HandleFunc("POST /v1/claims", f.counted(f.grant))
	mux.HandleFunc("GET /v1/claims/{claim}", f.counted(f.lookup))
	mux.HandleFunc("POST /v1/charge/{service}", f.counted(f.charge))
	mux.HandleFunc("GET /healthz", f.healthz)
	mux.HandleFunc("GET /readyz", f.readyz)
	return mux
}

type handler func(w http.ResponseWriter, r *http.Request, id yuccahinge.RequestID)

// counted counts the request from its arrival to the end of its answer.
func (f *Front) counted(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now := f.inFlight.Add(1)
		defer f.inFlight.Add(-1)
		if f.Leaving != nil && f.Leaving() {
			w.Header().Set("Connection", "close")
		}
		id, err := requestID(r)
		if err != nil {
			writeError(w, id, unheard(r, err))
			return
		}
		if now > int64(f.maxInFlight()) {
			writeError(w, id, unheard(r, errCrowded))
			return
		}
		h(w, r, id)
	}
}

func (f *Front) healthz(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, health{Status: "live"})
}

func (f *Front) readyz(w http.ResponseWriter, _ *http.Request) {
	if f.Ready == nil {
		reply.JSON(w, http.StatusOK, health{Status: "ready"})
		return
	}
	ok, why := f.Ready()
	if !ok {
		reply.JSON(w, http.StatusServiceUnavailable, health{Status: "unready", Reason: why})
		return
	}
	reply.JSON(w, http.StatusOK, health{Status: "ready"})
}
