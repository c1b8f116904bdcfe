package entry

// health is the response body of /healthz and /readyz.
type health struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}
