package entry

import "github.com/yuccahinge/yuccahinge"

// Defaults for the fields of a Front that are zero.
const (
	defaultMaxBodyBytes = 65536
	defaultReadTimeout  = 5 * yuccahinge.Second
	defaultMaxDeadline  = 30 * yuccahinge.Second
	defaultMaxInFlight  = 2000
)

func (f *Server) maxBodyBytes() int64 {
	if f.MaxBodyBytes > 0 {
		return f.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

func (f *Server) readTimeout() yuccahinge.Millis {
	if f.ReadTimeout > 0 {
		return f.ReadTimeout
	}
	return defaultReadTimeout
}

func (f *Server) maxDeadline() yuccahinge.Millis {
	if f.MaxDeadline > 0 {
		return f.MaxDeadline
	}
	return defaultMaxDeadline
}

func (f *Server) maxInFlight() int {
	if f.MaxInFlight > 0 {
		return f.MaxInFlight
	}
	return defaultMaxInFlight
}
