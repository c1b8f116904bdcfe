package drain

// Phase is a phase of a host's shutdown.
type Phase string

// The phases of a shutdown, in the order in which they occur.
const (
	// Serving is the normal phase: the host is ready and accepts connections and requests.
	Serving Phase = "serving"
	// Announced means that the readiness check fails, so that load balancers stop sending requests. The host still
	// accepts connections and requests.
	Announced Phase = "announced"
	// Closing means that the host accepts no new connections. It still serves requests on open connections.
	Closing Phase = "closing"
	// Done means that the process may exit.
	Done Phase = "done"
)
