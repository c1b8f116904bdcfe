package yuccahinge

import "encoding/json"

// ClaimRequest asks for the right to run one charge.
type ClaimRequest struct {
	Service ServiceName `json:"service"`
	// Key is the caller's business key, such as an invoice number.
	Key string `json:"key"`
}

// ClaimGrant is the right to run one charge.
type ClaimGrant struct {
	Claim ClaimID `json:"claim"`
	// ExpiresMs is the time left until the claim can no longer be used.
	ExpiresMs Millis `json:"expiresMs"`
}

// ChargeRequest is a caller's charge under a claim.
type ChargeRequest struct {
	RequestID  RequestID       `json:"requestId"`
	Service    ServiceName     `json:"service"`
	Claim      ClaimID         `json:"claim"`
	Body       json.RawMessage `json:"body"`
	DeadlineMs Millis          `json:"deadlineMs,omitempty"`
}

// ChargeAnswer is the outcome of a claim.
type ChargeAnswer struct {
	RequestID RequestID       `json:"requestId"`
	Claim     ClaimID         `json:"claim"`
	Outcome   Outcome         `json:"outcome"`
	Reply     json.RawMessage `json:"reply,omitempty"`
	Reason    Reason          `json:"reason,omitempty"`
	// State is fresh, running or done.
	State string `json:"state,omitempty"`
}
