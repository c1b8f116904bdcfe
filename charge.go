package yuccahinge

import "encoding/json"

// ClaimRequest requests a claim, which permits one charge to run.
type ClaimRequest struct {
	Service ServiceName `json:"service"`
	// Key is the caller's business key, such as an invoice number.
	Key string `json:"key"`
}

// ClaimGrant is the reply to a ClaimRequest.
type ClaimGrant struct {
	Claim ClaimID `json:"claim"`
	// ExpiresMs is the time until the claim expires.
	ExpiresMs Millis `json:"expiresMs"`
}

// ChargeRequest asks for a charge to run under a claim.
type ChargeRequest struct {
	RequestID  RequestID       `json:"requestId"`
	Service    ServiceName     `json:"service"`
	Claim      ClaimID         `json:"claim"`
	Body       json.RawMessage `json:"body"`
	DeadlineMs Millis          `json:"deadlineMs,omitempty"`
}

// ChargeAnswer reports the state and the outcome of the charge under a claim.
type ChargeAnswer struct {
	RequestID RequestID       `json:"requestId"`
	Claim     ClaimID         `json:"claim"`
	Outcome   Outcome         `json:"outcome"`
	Reply     json.RawMessage `json:"reply,omitempty"`
	Reason    Reason          `json:"reason,omitempty"`
	// State is "fresh" for an unused claim, "running" or "done".
	State string `json:"state,omitempty"`
}
