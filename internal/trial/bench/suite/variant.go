package suite

import (
	"slices"
	"strings"

	"github.com/yuccahinge/yuccahinge/internal/host/fanout"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"

	"github.com/yuccahinge/yuccahinge"
)

// variant is a named change of the shipped fan-out policy or of the plan (service, hosts, domains).
type variant struct {
	name  string
	adapt func(f *fanout.Fanout)
	plan  func(p *fleet.Plan)
}

func variants() []variant {
	return []variant{
		{name: "noHedge", adapt: func(f *fanout.Fanout) { f.Engine.Hedger = nil }},
		{name: "noRetry", adapt: func(f *fanout.Fanout) { f.Engine.RetryBudget = noRetryBudget{} }},
		{name: "noLimit", adapt: func(f *fanout.Fanout) { f.Engine.Limiter = nil }},
		{name: "noPoison", adapt: func(f *fanout.Fanout) { f.Engine.Quarantine = nil }},
		{name: "noReady", adapt: func(f *fanout.Fanout) { f.Engine.Versions = nil }},
		{name: "noCanary", adapt: func(f *fanout.Fanout) { f.Engine.Canary = false }},
		{name: "canary", adapt: func(f *fanout.Fanout) { f.Engine.Canary = true }},
		{name: "cancel", adapt: func(f *fanout.Fanout) { f.Engine.FinishHTTP1 = false }},
		{name: "leave", adapt: func(f *fanout.Fanout) { f.Engine.FinishHTTP1 = true }},
		{name: "h2c", plan: func(p *fleet.Plan) { p.Protocol = yuccahinge.H2C }},
		{name: "http1", plan: func(p *fleet.Plan) { p.Protocol = yuccahinge.HTTP1 }},
	}
}

// noRetryBudget is a retry budget that permits no retry.
type noRetryBudget struct{}

// Deposit implements yuccahinge.AttemptBudget.
func (noRetryBudget) Deposit(yuccahinge.Millis, yuccahinge.ServiceName, int) {}

// Withdraw implements yuccahinge.AttemptBudget.
func (noRetryBudget) Withdraw(yuccahinge.Millis, yuccahinge.ServiceName) bool { return false }

// Refund implements yuccahinge.AttemptBudget.
func (noRetryBudget) Refund(yuccahinge.Millis, yuccahinge.ServiceName) {}

// VariantNames returns the names that Variant accepts.
func VariantNames() []string {
	var out []string
	for _, v := range variants() {
		out = append(out, v.name)
	}
	return out
}

// Variant returns the shipped side with the named changes, separated by plus signs, or false if a name is unknown.
func Variant(names string) (Side, bool) {
	var adapts []func(f *fanout.Fanout)
	var plans []func(p *fleet.Plan)
	all := variants()
	for name := range strings.SplitSeq(names, "+") {
		i := slices.IndexFunc(all, func(v variant) bool { return v.name == name })
		if i < 0 {
			return Side{}, false
		}
		if all[i].adapt != nil {
			adapts = append(adapts, all[i].adapt)
		}
		if all[i].plan != nil {
			plans = append(plans, all[i].plan)
		}
	}
	side := Shipped(names, chain(adapts))
	side.AdaptPlan = chain(plans)
	return side, true
}

// chain returns a function that applies the changes in order.
func chain[T any](changes []func(*T)) func(*T) {
	return func(v *T) {
		for _, change := range changes {
			change(v)
		}
	}
}
