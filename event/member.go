package event

import "github.com/yuccahinge/yuccahinge"

// Events of the membership of entry hosts, numbered from 500.
const (
	MemberJoined    yuccahinge.EventCode = 500
	MemberLeft      yuccahinge.EventCode = 501
	MemberSuspected yuccahinge.EventCode = 502
	// MemberRefuted means that a suspected member or one that had left is live again under the same incarnation.
	MemberRefuted yuccahinge.EventCode = 503
	// MemberRestarted means that a member has a new incarnation.
	MemberRestarted yuccahinge.EventCode = 504
)

var memberNames = map[yuccahinge.EventCode]string{
	MemberJoined:    "memberJoined",
	MemberLeft:      "memberLeft",
	MemberSuspected: "memberSuspected",
	MemberRefuted:   "memberRefuted",
	MemberRestarted: "memberRestarted",
}
