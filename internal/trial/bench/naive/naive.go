// Package naive provides the baseline of the bench: a plain good implementation without the project's policies.
package naive

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// Engine searches with round robin, no hedging, one immediate retry, a fixed timeout, an immediate
// version switch and no limit but its connection pool's.
type Engine struct {
	States yuccahinge.StateHolder
	// Share is the pool's cap on connections to one searcher.
	Share int

	once   sync.Once
	client *http.Client
	pool   *http.Transport
	turn   atomic.Uint64
}

// timeoutShare is the part of the deadline that an attempt may take, so that a retry has as much again.
const timeoutShare = 0.5

const maxReply = 4 << 20

func (e *Engine) start() {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	e.pool = &http.Transport{
		Protocols:           p,
		MaxConnsPerHost:     e.Share,
		MaxIdleConnsPerHost: e.Share,
		DisableCompression:  true,
	}
	e.client = &http.Client{Transport: e.pool}
}

// Close drops the idle connections.
func (e *Engine) Close() {
	e.once.Do(e.start)
	e.pool.CloseIdleConnections()
}

// Search asks all shards of the newest index.
func (e *Engine) Search(ctx context.Context, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	e.once.Do(e.start)
	state, age := e.States.State()
	service := state.Services[r.Service]
	ctx, stop := context.WithTimeout(ctx, r.DeadlineMs.Duration())
	defer stop()
	shards := service.Index.Shards
	results := make([]result, len(shards))
	var calls sync.WaitGroup
	for i := range shards {
		calls.Go(func() { results[i] = e.ask(ctx, r, state, &service.Index, &shards[i]) })
	}
	calls.Wait()
	answer := &yuccahinge.SearchAnswer{
		RequestID:    r.RequestID,
		Ticket:       state.Ticket,
		StateAgeMs:   age,
		IndexVersion: service.Index.Version,
	}
	collect(answer, shards, results)
	return answer, nil
}

// result is how a shard ended: hits, or the reason for none.
type result struct {
	hits   []yuccahinge.Hit
	reason yuccahinge.Reason
}

// ask sends the first attempt and, when that fails, one more at the next replica.
func (e *Engine) ask(
	ctx context.Context, r *yuccahinge.SearchRequest, s *yuccahinge.State, ix *yuccahinge.Index, shard *yuccahinge.Shard,
) result {
	first := e.turn.Add(1)
	var last result
	for try := range uint64(2) {
		id := shard.Searchers[(first+try)%uint64(len(shard.Searchers))]
		call := &yuccahinge.ShardRequest{
			RequestID:    r.RequestID,
			Attempt:      yuccahinge.AttemptID(try + 1),
			Service:      r.Service,
			Shard:        shard.ID,
			IndexVersion: ix.Version,
			Ticket:       s.Ticket,
			Query:        r.Query,
			DeadlineMs:   r.DeadlineMs * timeoutShare,
		}
		last = e.call(ctx, ix.Searchers[id], call)
		if last.reason == "" || ctx.Err() != nil {
			return last
		}
	}
	return last
}

func (e *Engine) call(ctx context.Context, s *yuccahinge.Searcher, call *yuccahinge.ShardRequest) result {
	ctx, stop := context.WithTimeout(ctx, call.DeadlineMs.Duration())
	defer stop()
	body, err := json.Marshal(call)
	if err != nil {
		return result{reason: yuccahinge.ReasonInvalid}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return result{reason: yuccahinge.ReasonInvalid}
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return result{reason: yuccahinge.ReasonUnreachable}
	}
	defer func() { _ = resp.Body.Close() }()
	var reply yuccahinge.ShardReply
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxReply)).Decode(&reply); err != nil {
		return result{reason: yuccahinge.ReasonInvalid}
	}
	if reply.Outcome != yuccahinge.Ran {
		return result{reason: yuccahinge.ReasonNotRun}
	}
	return result{hits: reply.Hits}
}

func collect(a *yuccahinge.SearchAnswer, shards []yuccahinge.Shard, results []result) {
	a.Outcome = yuccahinge.Complete
	a.Coverage.Asked = len(shards)
	for i, r := range results {
		id := shards[i].ID
		if r.reason != "" {
			a.Outcome = yuccahinge.Partial
			a.Coverage.Lacking = append(a.Coverage.Lacking, yuccahinge.Lack{Shard: id, Reason: r.reason})
			continue
		}
		a.Coverage.Covered = append(a.Coverage.Covered, strconv.Itoa(int(id)))
		a.Hits = append(a.Hits, r.hits...)
	}
}
