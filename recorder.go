package yuccahinge

// Recorder takes events into the host's part of the time line. It fills Stamp, Seq, Name and Host.
type Recorder interface {
	Record(e Event)
}
