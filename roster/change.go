package roster

import "github.com/yuccahinge/yuccahinge"

// Change is a status change or restart of a member, with the code of the event to log for it.
type Change struct {
	Code   yuccahinge.EventCode
	Member yuccahinge.Member
}
