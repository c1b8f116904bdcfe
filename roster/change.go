package roster

import "github.com/yuccahinge/yuccahinge"

// Change is a step in what this host believes of a member, with the event that records it.
type Change struct {
	Code   yuccahinge.EventCode
	Member yuccahinge.Member
}
