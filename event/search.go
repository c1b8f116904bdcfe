package event

import "github.com/yuccahinge/yuccahinge"

// Events of searches, numbered from 200.
const (
	SearchArrived    yuccahinge.EventCode = 200
	SearchAnswered   yuccahinge.EventCode = 201
	SearchRefused    yuccahinge.EventCode = 202
	AttemptSent      yuccahinge.EventCode = 203
	AttemptEnded     yuccahinge.EventCode = 204
	AttemptHedged    yuccahinge.EventCode = 205
	AttemptRetried   yuccahinge.EventCode = 206
	ReplyInvalid     yuccahinge.EventCode = 207
	DuplicateHit     yuccahinge.EventCode = 208
	QueryQuarantined yuccahinge.EventCode = 209
	CrashSuspected   yuccahinge.EventCode = 210
	// CrashUnproven means that a searcher closed the connection of a forwarded request without a response, but nothing
	// shows that it has ended.
	CrashUnproven yuccahinge.EventCode = 211
	// CrashCleared means that a response ended the suspicion that a forwarded request crashes searchers.
	CrashCleared yuccahinge.EventCode = 212
	// LossAfterAnswer means that a searcher was lost by a forwarded request that none had run to its end, after the request or
	// part was answered.
	LossAfterAnswer yuccahinge.EventCode = 213
	// LossReportDenied means that a host does not report such a loss, because the request was run to its end or another loss by it is
	// reported.
	LossReportDenied yuccahinge.EventCode = 214
)

var searchNames = map[yuccahinge.EventCode]string{
	SearchArrived:    "searchArrived",
	SearchAnswered:   "searchAnswered",
	SearchRefused:    "searchRefused",
	AttemptSent:      "attemptSent",
	AttemptEnded:     "attemptEnded",
	AttemptHedged:    "attemptHedged",
	AttemptRetried:   "attemptRetried",
	ReplyInvalid:     "replyInvalid",
	DuplicateHit:     "duplicateHit",
	QueryQuarantined: "queryQuarantined",
	CrashSuspected:   "crashSuspected",
	CrashUnproven:    "crashUnproven",
	CrashCleared:     "crashCleared",
	LossAfterAnswer:  "lossAfterAnswer",
	LossReportDenied: "lossReportDenied",
}
