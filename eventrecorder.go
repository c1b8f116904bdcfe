package yuccahinge

// EventRecorder appends events to the host's event log. It sets Stamp, Seq, Name and Host.
type EventRecorder interface {
	Record(e Event)
}
