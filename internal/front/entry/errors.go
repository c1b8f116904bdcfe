package entry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/reply"
)

// errCrowded refuses a request beyond the most that are served at once.
var errCrowded = &yuccahinge.Error{
	Code:    yuccahinge.CodeUnavailable,
	Step:    yuccahinge.StepAdmit,
	Message: "too many requests are in flight on this host",
	Outcome: yuccahinge.NotRun,
}

// errorBody is the body of every refusal.
type errorBody struct {
	Error     errorPart            `json:"error"`
	RequestID yuccahinge.RequestID `json:"requestId"`
	Outcome   yuccahinge.Outcome   `json:"outcome"`
	// Claim and ExpiresMs offer a claim to a charge that came without one.
	Claim     yuccahinge.ClaimID `json:"claim,omitempty"`
	ExpiresMs yuccahinge.Millis  `json:"expiresMs,omitempty"`
}

type errorPart struct {
	Code    yuccahinge.Code `json:"code"`
	Message string          `json:"message"`
	Step    yuccahinge.Step `json:"step"`
	Peer    string          `json:"peer"`
}

func invalid(message string) error {
	return refusal(yuccahinge.CodeInvalid, message, nil)
}

func refusal(code yuccahinge.Code, message string, cause error) error {
	return &yuccahinge.Error{
		Code:    code,
		Step:    yuccahinge.StepDecode,
		Message: message,
		Outcome: yuccahinge.NotRun,
		Err:     cause,
	}
}

// unheard returns a refusal by the front itself, without the outcome notRun where the request names a claim: it may
// have run, or run now, through another host.
func unheard(r *http.Request, err error) error {
	var e *yuccahinge.Error
	if r.Header.Get("Claim") == "" && r.PathValue("claim") == "" || !errors.As(err, &e) {
		return err
	}
	unsaid := *e
	unsaid.Outcome = yuccahinge.Unknown
	return &unsaid
}

func writeError(w http.ResponseWriter, id yuccahinge.RequestID, err error) {
	var e *yuccahinge.Error
	if !errors.As(err, &e) {
		e = &yuccahinge.Error{Code: yuccahinge.CodeInternal, Step: yuccahinge.StepGather, Message: err.Error()}
	}
	body := errorBody{Error: partOf(e), RequestID: id, Outcome: outcomeOf(e)}
	reply.JSON(w, statusOf(e.Code), body)
}

func partOf(e *yuccahinge.Error) errorPart {
	message := e.Message
	if e.Err != nil {
		message += ": " + e.Err.Error()
	}
	return errorPart{Code: e.Code, Message: message, Step: e.Step, Peer: e.Peer}
}

func outcomeOf(e *yuccahinge.Error) yuccahinge.Outcome {
	if e.Outcome == "" {
		return yuccahinge.Unknown
	}
	return e.Outcome
}

func claimRequired(id yuccahinge.RequestID, g yuccahinge.ClaimGrant) errorBody {
	return errorBody{
		Error: errorPart{
			Code:    yuccahinge.CodeClaimRequired,
			Message: "a charge needs a claim; send it again with this one in the Claim header",
			Step:    yuccahinge.StepClaim,
		},
		RequestID: id,
		Outcome:   yuccahinge.NotRun,
		Claim:     g.Claim,
		ExpiresMs: g.ExpiresMs,
	}
}

func statusOf(c yuccahinge.Code) int {
	switch c {
	case yuccahinge.CodeInvalid, yuccahinge.CodeNotFound, yuccahinge.CodeConflict:
		return http.StatusBadRequest
	case yuccahinge.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case yuccahinge.CodeClaimRequired:
		return http.StatusPreconditionRequired
	case yuccahinge.CodePoisoned:
		return http.StatusUnprocessableEntity
	case yuccahinge.CodeUnavailable:
		return http.StatusServiceUnavailable
	case yuccahinge.CodeDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

func freshID() yuccahinge.RequestID {
	return yuccahinge.RequestID(fmt.Sprintf("r-%016x", rand.Uint64()))
}

func bodyKey(sum uint64) string {
	return fmt.Sprintf("body-%016x", sum)
}
