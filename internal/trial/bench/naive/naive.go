// Package naive is the baseline of the benchmark: a simple search engine without the policies of the entry host.
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

// Engine searches with round-robin replica selection, a fixed timeout per attempt and one immediate retry. It has no
// hedging and no limit other than its connection pool's, and it switches to a new index version at once. States must be
// set before the first search.
type Engine struct {
	States yuccahinge.StateProvider
	// MaxConnsPerSearcher is the maximum number of connections to one searcher; zero means no limit.
	MaxConnsPerSearcher int

	once        sync.Once
	client      *http.Client
	transport   *http.Transport
	nextReplica atomic.Uint64
}

// timeoutShare is the fraction of the deadline that an attempt may take. One half leaves a retry the same time.
const timeoutShare = 0.5

// maxReplyBytes bounds the size of a searcher's reply.
const maxReplyBytes = 4 << 20

func (e *Engine) start() {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	e.transport = &http.Transport{
		Protocols:           p,
		MaxConnsPerHost:     e.MaxConnsPerSearcher,
		MaxIdleConnsPerHost: e.MaxConnsPerSearcher,
		DisableCompression:  true,
	}
	e.client = &http.Client{Transport: e.transport}
}

// Close closes the idle connections.
func (e *Engine) Close() {
	e.once.Do(e.start)
	e.transport.CloseIdleConnections()
}

// Search queries all shards of the newest index in parallel.
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
		calls.Go(func() { results[i] = e.queryShard(ctx, r, state, &service.Index, &shards[i]) })
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

// result is the result of one shard: hits, or the reason why it is lacking.
type result struct {
	hits   []yuccahinge.Hit
	reason yuccahinge.Reason
}

// queryShard sends an attempt and, if it fails, a second one to the next replica.
func (e *Engine) queryShard(
	ctx context.Context, r *yuccahinge.SearchRequest, s *yuccahinge.State, ix *yuccahinge.Index, shard *yuccahinge.Shard,
) result {
	first := e.nextReplica.Add(1)
	var last result
	for attempt := range uint64(2) {
		id := shard.Searchers[(first+attempt)%uint64(len(shard.Searchers))]
		req := &yuccahinge.ShardRequest{
			RequestID:    r.RequestID,
			Attempt:      yuccahinge.AttemptID(attempt + 1),
			Service:      r.Service,
			Shard:        shard.ID,
			IndexVersion: ix.Version,
			Ticket:       s.Ticket,
			Query:        r.Query,
			DeadlineMs:   r.DeadlineMs * timeoutShare,
		}
		last = e.sendAttempt(ctx, ix.Searchers[id], req)
		if last.reason == "" || ctx.Err() != nil {
			return last
		}
	}
	return last
}

func (e *Engine) sendAttempt(ctx context.Context, s *yuccahinge.Searcher, call *yuccahinge.ShardRequest) result {
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
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return result{reason: yuccahinge.ReasonInvalid}
	}
	if reply.Outcome != yuccahinge.Ran {
		return result{reason: yuccahinge.ReasonNotRun}
	}
	return result{hits: reply.Hits}
}

func collect(a *yuccahinge.SearchAnswer, shards []yuccahinge.Shard, results []result) {
	a.Outcome = yuccahinge.Complete
	a.Coverage.Total = len(shards)
	for i, r := range results {
		id := shards[i].ID
		if r.reason != "" {
			a.Outcome = yuccahinge.Partial
			a.Coverage.Lacking = append(a.Coverage.Lacking, yuccahinge.LackingShard{Shard: id, Reason: r.reason})
			continue
		}
		a.Coverage.Covered = append(a.Coverage.Covered, strconv.Itoa(int(id)))
		a.Hits = append(a.Hits, r.hits...)
	}
}
