package world

// Break names a fault in the decisions of hosts that a run injects, so that an invariant must fail.
type Break string

// The breaks. None injects no fault.
const (
	None              Break = ""
	HedgeCharge       Break = "hedgeCharge"
	RetryUnknown      Break = "retryUnknown"
	RunForeignClaim   Break = "moveClaim"
	RunForgottenClaim Break = "runForgottenClaim"
	SwitchMaps        Break = "switchMaps"
	AcceptLowerTicket Break = "acceptLowerTicket"
	TrustPausedClock  Break = "trustPausedClock"
	CountLateReply    Break = "countLateReply"
	ForgetDrain       Break = "forgetDrain"
	SendToLeaving     Break = "sendToLeaving"
	WithholdNotices   Break = "keepNoticesBack"
	UnknownAsNotRun   Break = "unknownAsNotRun"
	DropAntiEntropy   Break = "dropAntiEntropy"
	IgnoreMinTicket   Break = "ignoreMinTicket"
	LeaveAtOnce       Break = "leaveAtOnce"
	ClaimCoverage     Break = "claimCoverage"
	DropCoverage      Break = "dropCoverage"
	IgnoreMaxRate     Break = "ignoreMaxRate"
)

// BreakInfo describes a break and how it is found.
type BreakInfo struct {
	Name Break
	// Description describes the injected fault. The command prints it with --list.
	Description string
	// Invariants lists the invariants of which one must fail.
	Invariants []Invariant
}

// Breaks returns all breaks but None.
func Breaks() []BreakInfo {
	return []BreakInfo{
		{HedgeCharge, "a slow charge is sent to a second searcher", []Invariant{AtMostOnce, TrueOutcome}},
		{RetryUnknown, "a charge whose outcome is unknown runs again when it is sent again", []Invariant{AtMostOnce}},
		{RunForeignClaim, "a host runs a charge itself when the owner of its claim does not answer", []Invariant{AtMostOnce, TrueOutcome}},
		{RunForgottenClaim, "a new life of a host runs the claims of the one before", []Invariant{AtMostOnce, TrueOutcome}},
		{SwitchMaps, "queries under way go on with the index of a new ticket", []Invariant{Snapshot, Coverage}},
		{AcceptLowerTicket, "a host believes a platform that goes backwards", []Invariant{MonotonicTicket}},
		{TrustPausedClock, "a host that was paused goes on as if no time had passed", []Invariant{AfterPause}},
		{CountLateReply, "a late reply to another attempt counts", []Invariant{OwnReply, Snapshot, Coverage}},
		{ForgetDrain, "what is known of leaving searchers is forgotten when the roster changes", []Invariant{AvoidLeaving, LeavingPropagated}},
		{SendToLeaving, "leaving searchers receive attempts", []Invariant{AvoidLeaving, LeavingPropagated}},
		{WithholdNotices, "hosts do not tell each other which searchers leave", []Invariant{LeavingPropagated}},
		{UnknownAsNotRun, "an attempt that brought no reply counts as not run", []Invariant{TrueOutcome, AtMostOnce}},
		{DropAntiEntropy, "hosts do not compare their states from time to time", []Invariant{TicketPropagated}},
		{IgnoreMinTicket, "a host below the ticket that a caller asks for answers all the same", []Invariant{MinTicket}},
		{LeaveAtOnce, "a host that shall leave exits at once", []Invariant{DrainWhole}},
		{ClaimCoverage, "an answer passes over the shards that it lacks", []Invariant{Coverage}},
		{DropCoverage, "an answer forgets one of the shards that it lacks", []Invariant{Coverage}},
		{IgnoreMaxRate, "hosts ignore the maximum rates that searchers name", []Invariant{MaxRate}},
	}
}

// hasBreak reports whether the run injects this break.
func (w *World) hasBreak(b Break) bool { return w.Break == b }

// hasAnyBreak reports whether the run injects any break.
func (w *World) hasAnyBreak() bool { return w.Break != None }
