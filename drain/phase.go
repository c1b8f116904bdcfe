package drain

// Phase is a step of a host's own shutdown.
type Phase string

// The phases, in their order.
const (
	// Serving is the ordinary state: the host is ready and takes everything.
	Serving Phase = "serving"
	// Announced means that readiness fails while the host still takes everything, until balancers have noticed.
	Announced Phase = "announced"
	// Closing means that no new connection is accepted. What arrives on open connections is still served.
	Closing Phase = "closing"
	// Done means that the process may exit.
	Done Phase = "done"
)
