package search

import (
	"net/http"

	jsonv2 "github.com/go-json-experiment/json"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
)

// decode reads a searcher's reply and checks that it is one to r. A refusal counts as NotRun only when it
// echoes the request.
func decode(data []byte, status int, id yuccahinge.SearcherID, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
	reply := new(yuccahinge.ShardReply)
	if err := jsonv2.Unmarshal(data, reply); err != nil {
		return failed(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, errors.Wrapf(err, "status %d", status))
	}
	if !echoes(reply, r) {
		return failed(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, errors.Wrapf(errEcho, "status %d", status))
	}
	switch {
	case reply.Outcome == yuccahinge.Ran && status == http.StatusOK:
		return yuccahinge.ShardResult{Outcome: yuccahinge.Ran, Reply: reply}
	case reply.Outcome == yuccahinge.NotRun:
		return yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: refusal(reply.Reason), Reply: reply}
	default:
		return failed(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, errors.Newf("status %d with outcome %q", status, reply.Outcome))
	}
}

func echoes(reply *yuccahinge.ShardReply, r *yuccahinge.ShardRequest) bool {
	return reply.RequestID == r.RequestID &&
		reply.Attempt == r.Attempt &&
		reply.Shard == r.Shard &&
		reply.IndexVersion == r.IndexVersion
}

// refusal keeps a searcher's reason if it is one that callers know.
func refusal(r yuccahinge.Reason) yuccahinge.Reason {
	switch r {
	case yuccahinge.ReasonTimeout, yuccahinge.ReasonVersion, yuccahinge.ReasonDraining, yuccahinge.ReasonShed, yuccahinge.ReasonPoisoned, yuccahinge.ReasonCanceled:
		return r
	default:
		return yuccahinge.ReasonRefused
	}
}

func failed(o yuccahinge.Outcome, why yuccahinge.Reason, id yuccahinge.SearcherID, err error) yuccahinge.ShardResult {
	return yuccahinge.ShardResult{Outcome: o, Reason: why, Err: &yuccahinge.Error{
		Code:    yuccahinge.CodeUnavailable,
		Step:    yuccahinge.StepScatter,
		Peer:    string(id),
		Message: "attempt failed: " + string(why),
		Err:     err,
	}}
}
