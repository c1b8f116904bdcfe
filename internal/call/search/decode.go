package search

import (
	"net/http"

	jsonv2 "github.com/go-json-experiment/json"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
)

// decode decodes a searcher's reply and checks that it belongs to r. A refusal that does not echo the request has an
// unknown outcome, since it may be the reply to another attempt.
func decode(data []byte, status int, id yuccahinge.SearcherID, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
	reply := new(yuccahinge.ShardReply)
	if err := jsonv2.Unmarshal(data, reply); err != nil {
		return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, errors.Wrapf(err, "status %d", status))
	}
	if !echoes(reply, r) {
		return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, errors.Wrapf(errMismatch, "status %d", status))
	}
	switch {
	case reply.Outcome == yuccahinge.Ran && status == http.StatusOK:
		return yuccahinge.ShardResult{Outcome: yuccahinge.Ran, Reply: reply}
	case reply.Outcome == yuccahinge.NotRun:
		return yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: knownReason(reply.Reason), Reply: reply}
	default:
		return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, errors.Newf("status %d with outcome %q", status, reply.Outcome))
	}
}

// echoes reports whether a reply repeats the fields that identify the attempt.
func echoes(reply *yuccahinge.ShardReply, r *yuccahinge.ShardRequest) bool {
	return reply.RequestID == r.RequestID &&
		reply.Attempt == r.Attempt &&
		reply.Shard == r.Shard &&
		reply.IndexVersion == r.IndexVersion
}

// knownReason returns the reason that a searcher gave for its refusal, or ReasonRefused if it is none of those
// listed here.
func knownReason(r yuccahinge.Reason) yuccahinge.Reason {
	switch r {
	case yuccahinge.ReasonTimeout, yuccahinge.ReasonVersionUnavailable, yuccahinge.ReasonDraining, yuccahinge.ReasonShed, yuccahinge.ReasonPoisoned, yuccahinge.ReasonCanceled:
		return r
	default:
		return yuccahinge.ReasonRefused
	}
}

func failedResult(o yuccahinge.Outcome, reason yuccahinge.Reason, id yuccahinge.SearcherID, err error) yuccahinge.ShardResult {
	return yuccahinge.ShardResult{Outcome: o, Reason: reason, Err: &yuccahinge.Error{
		Code:    yuccahinge.CodeUnavailable,
		Step:    yuccahinge.StepScatter,
		Peer:    string(id),
		Message: "attempt failed: " + string(reason),
		Err:     err,
	}}
}
