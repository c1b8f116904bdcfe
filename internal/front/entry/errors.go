package entry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/render"
)

// errOverloaded refuses a request over the limit MaxInFlight.
var errOverloaded = &yuccahinge.Error{
	Code:    yuccahinge.CodeUnavailable,
	Step:    yuccahinge.StepAdmit,
	Message: "too many requests are in flight on this host",
	Outcome: yuccahinge.NotRun,
}

// errorBody is the body of every error response.
type errorBody struct {
	Error     errorDetail          `json:"error"`
	RequestID yuccahinge.RequestID `json:"requestId"`
	Outcome   yuccahinge.Outcome   `json:"outcome"`
	// Claim and ExpiresMs are a new claim for a charge that was sent without one.
	Claim     yuccahinge.ClaimID `json:"claim,omitempty"`
	ExpiresMs yuccahinge.Millis  `json:"expiresMs,omitempty"`
}

type errorDetail struct {
	Code    yuccahinge.Code `json:"code"`
	Message string          `json:"message"`
	Step    yuccahinge.Step `json:"step"`
	Peer    string          `json:"peer"`
}

func invalidError(message string) error {
	return decodeError(yuccahinge.CodeInvalid, message, nil)
}

func decodeError(code yuccahinge.Code, message string, cause error) error {
	return &yuccahinge.Error{
		Code:    code,
		Step:    yuccahinge.StepDecode,
		Message: message,
		Outcome: yuccahinge.NotRun,
		Err:     cause,
	}
}

// withUnknownOutcome replaces the outcome of an error of this host by unknown if the request names a claim, because
// another host may run its charge or may have run it.
func withUnknownOutcome(r *http.Request, err error) error {
	var e *yuccahinge.Error
	if r.Header.Get("Claim") == "" && r.PathValue("claim") == "" || !errors.As(err, &e) {
		return err
	}
	unknown := *e
	unknown.Outcome = yuccahinge.Unknown
	return &unknown
}

func writeError(w http.ResponseWriter, id yuccahinge.RequestID, err error) {
	var e *yuccahinge.Error
	if !errors.As(err, &e) {
		e = &yuccahinge.Error{Code: yuccahinge.CodeInternal, Step: yuccahinge.StepGather, Message: err.Error()}
	}
	body := errorBody{Error: newErrorDetail(e), RequestID: id, Outcome: outcomeOf(e)}
	if e.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(e.RetryAfterMs/yuccahinge.Second), 'f', 3, 64))
	}
	status := statusOf(e.Code)
	if status == http.StatusServiceUnavailable && body.Outcome != yuccahinge.NotRun {
		status = http.StatusGatewayTimeout // 503 would promise that the request did not run
	}
	render.JSON(w, status, body)
}

func newErrorDetail(e *yuccahinge.Error) errorDetail {
	message := e.Message
	if e.Err != nil {
		message += ": " + e.Err.Error()
	}
	return errorDetail{Code: e.Code, Message: message, Step: e.Step, Peer: e.Peer}
}

func outcomeOf(e *yuccahinge.Error) yuccahinge.Outcome {
	if e.Outcome == "" {
		return yuccahinge.Unknown
	}
	return e.Outcome
}

func claimRequiredBody(id yuccahinge.RequestID, g yuccahinge.ClaimGrant) errorBody {
	return errorBody{
		Error: errorDetail{
			Code:    yuccahinge.CodeClaimRequired,
			Message: "a charge requires a claim; send it again with the claim of this response in the Claim header",
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

func newRequestID() yuccahinge.RequestID {
	return yuccahinge.RequestID(fmt.Sprintf("r-%016x", rand.Uint64()))
}

func digestKey(sum uint64) string {
	return fmt.Sprintf("body-%016x", sum)
}
