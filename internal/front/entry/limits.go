package entry

import "github.com/yuccahinge/yuccahinge"

// Defaults for the fields of a Server that are zero.
const (
	defaultMaxBodyBytes = 65536
	defaultReadTimeout  = 5 * yuccahinge.Second
	defaultMaxDeadline  = 30 * yuccahinge.Second
	defaultMaxInFlight  = 2000
)

func (s *Server) maxBodyBytes() int64 {
	if s.MaxBodyBytes > 0 {
		return s.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

func (s *Server) readTimeout() yuccahinge.Millis {
	if s.ReadTimeout > 0 {
		return s.ReadTimeout
	}
	return defaultReadTimeout
}

func (s *Server) maxDeadline() yuccahinge.Millis {
	if s.MaxDeadline > 0 {
		return s.MaxDeadline
	}
	return defaultMaxDeadline
}

func (s *Server) maxInFlight() int {
	if s.MaxInFlight > 0 {
		return s.MaxInFlight
	}
	return defaultMaxInFlight
}
