package world

// Break names a wrong decision, swapped in for the right one where a host meets its parts.
type Break string

// The breaks. None breaks nothing.
const (
	None              Break = ""
	HedgeCharge       Break = "hedgeCharge"
	RetryUnknown      Break = "retryUnknown"
	MoveClaim         Break = "moveClaim"
	RunForgottenClaim Break = "runForgottenClaim"
	SwitchMaps        Break = "switchMaps"
	AcceptLowerTicket Break = "acceptLowerTicket"
	TrustPausedClock  Break = "trustPausedClock"
	CountLateReply    Break = "countLateReply"
	ForgetDrain       Break = "forgetDrain"
	SendToLeaving     Break = "sendToLeaving"
	KeepNoticesBack   Break = "keepNoticesBack"
	UnknownAsNotRun   Break = "unknownAsNotRun"
	DropAntiEntropy   Break = "dropAntiEntropy"
	IgnoreMinTicket   Break = "ignoreMinTicket"
	LeaveAtOnce       Break = "leaveAtOnce"
	ClaimCoverage     Break = "claimCoverage"
	DropCoverage      Break = "dropCoverage"
)

// Breakage describes a break.
type Breakage struct {
	Name Break
	// What says what goes wrong.
	What string
	// Invariants are those of which one finds it.
	Invariants []Invariant
}

// Breaks returns all breaks.
func Breaks() []Breakage {
	return []Breakage{
		{HedgeCharge, "a slow charge is sent to a second searcher", []Invariant{AtMostOnce, NotRunTrue}},
		{RetryUnknown, "a charge whose outcome is unknown runs again when it is sent again", []Invariant{AtMostOnce}},
		{MoveClaim, "a host runs a charge itself when the owner of its claim does not answer", []Invariant{AtMostOnce, NotRunTrue}},
		{RunForgottenClaim, "a new life of a host runs the claims of the one before", []Invariant{AtMostOnce, NotRunTrue}},
		{SwitchMaps, "queries under way go on with the index of a new ticket", []Invariant{Snapshot, Coverage}},
		{AcceptLowerTicket, "a host believes a platform that goes backwards", []Invariant{Forward}},
		{TrustPausedClock, "a host that was paused goes on as if no time had passed", []Invariant{AfterPause}},
		{CountLateReply, "a late reply to another attempt counts", []Invariant{OwnReply, Snapshot, Coverage}},
		{ForgetDrain, "what is known of leaving searchers is forgotten when the roster changes", []Invariant{LeavingKnown, LeavingHeard}},
		{SendToLeaving, "leaving searchers receive attempts", []Invariant{LeavingKnown, LeavingHeard}},
		{KeepNoticesBack, "hosts do not tell each other which searchers leave", []Invariant{LeavingHeard}},
		{UnknownAsNotRun, "an attempt that brought no reply counts as not run", []Invariant{NotRunTrue, AtMostOnce}},
		{DropAntiEntropy, "hosts do not compare their states from time to time", []Invariant{InForce}},
		{IgnoreMinTicket, "a host below the ticket that a caller asks for answers all the same", []Invariant{MinTicket}},
		{LeaveAtOnce, "a host that shall leave exits at once", []Invariant{DrainWhole}},
		{ClaimCoverage, "an answer passes over the shards that it lacks", []Invariant{Coverage}},
		{DropCoverage, "an answer forgets one of the shards that it lacks", []Invariant{Coverage}},
	}
}

// is reports whether the run has this break.
func (w *World) is(b Break) bool { return w.Break == b }

// broken reports whether the run has any break.
func (w *World) broken() bool { return w.Break != None }
