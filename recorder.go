package yuccahinge

// Recorder appends events to the host's event log. It sets Stamp, Seq, Name and Host.
type Recorder interface {
	Record(e Event)
}
