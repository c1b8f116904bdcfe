package suite

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

// Report is the measurement of one side of a run.
type Report struct {
	Side string `json:"side"`
	Rows []Row  `json:"rows"`
	// MaxConnections is the highest number of connections open at one searcher, ConnectionsRefused the number that
	// searchers refused because they were at their limit.
	MaxConnections     int `json:"connectionsMost"`
	ConnectionsRefused int `json:"connectionsRefused"`
	Connects           int `json:"connects"`
	// Crashes counts the crashes of searchers by failure domain.
	Crashes map[yuccahinge.DomainID]int `json:"crashes,omitempty"`
	// Wrong counts answers whose hits are not those of the covered shards at the stated version.
	Wrong int `json:"wrong"`
	// LimitedBy lists why the load generator or the machine may have limited the result instead of the policy; empty for none.
	LimitedBy []string `json:"limited,omitempty"`
	// Trace is the event timeline of the search at p99 in the fault phase.
	Trace []string `json:"trace,omitempty"`

	plan    planParams
	phases  []load.Phase
	samples []load.Sample
}

// planParams are the values of the plan that the figures depend on.
type planParams struct {
	hosts          int
	domains        []yuccahinge.DomainID
	enoughCoverage float64
	fanOut         int
}

// Row is the measurement of one phase.
type Row struct {
	Phase    string  `json:"phase"`
	Seconds  float64 `json:"seconds"`
	Rate     float64 `json:"rate"`
	Searches int     `json:"searches"`
	Figures
	// Attempts is the number of attempts that searchers received, divided by the number of shards that the searches not
	// refused had to query.
	Attempts float64 `json:"attempts"`
	// Goodput is the number of answers per second that cover all shards, or at least Plan.EnoughCoverage of them if it is set.
	Goodput float64 `json:"goodput"`
	// CPUPerAttemptUs is the CPU time of the whole bench process, searchers included, per attempt in microseconds.
	CPUPerAttemptUs float64 `json:"cpuPerCallUs"`
	// MachineBusy is the busy share of all CPUs of the machine, other processes included.
	MachineBusy float64 `json:"machineBusy"`
	// Cores is the number of CPU cores that the bench process used on average.
	Cores float64 `json:"cores"`
}

const (
	// lagLimit is the arrival lag at p99 above which the load generator is reported as the limit.
	lagLimit = 5 * yuccahinge.Millis(1)
	// busyLimit is the busy share above which the machine is reported as the limit.
	busyLimit = 0.85
)

func newReport(t *Testbed, phases []load.Phase, samples []load.Sample, snapshots []snapshot) *Report {
	total := snapshots[len(snapshots)-1].total
	r := &Report{
		Side:               t.side.Name,
		MaxConnections:     total.MaxConnections,
		ConnectionsRefused: total.Refused,
		Connects:           total.Connects,
		Crashes:            t.Fleet.Total().Crashes,
		phases:             phases,
		samples:            samples,
		plan: planParams{
			hosts:          t.Plan.Hosts,
			domains:        t.Plan.Domains,
			enoughCoverage: t.Plan.EnoughCoverage,
			fanOut:         t.Plan.FanOut,
		},
	}
	r.reassignInFlight()
	for i := range phases {
		if i > 0 {
			r.Rows = append(r.Rows, r.row(i, snapshots[i], snapshots[i+1]))
		}
	}
	for _, s := range samples {
		if s.Wrong {
			r.Wrong++
		}
	}
	r.checkLimits()
	return r
}

// reassignInFlight moves the searches that were in flight when the fault phase began to that phase, since the fault
// affects them.
func (r *Report) reassignInFlight() {
	for i := range r.samples {
		s := &r.samples[i]
		if r.phases[s.Phase].Name != phaseBefore {
			continue
		}
		end := startOf(r.phases, phaseBefore) + seconds(r.phases[s.Phase].Seconds)
		if s.At+s.Latency.Duration() > end {
			s.Phase++
		}
	}
}

func (r *Report) row(i int, from, to snapshot) Row {
	p := r.phases[i]
	figures := r.Summarize(func(s *load.Sample) bool { return s.Phase == i && !s.Marked })
	row := Row{Phase: p.Name, Seconds: p.Seconds, Rate: p.Rate, Searches: figures.count, Figures: figures}
	received := to.total.Received - from.total.Received
	if figures.shardCalls > 0 {
		row.Attempts = float64(received) / float64(figures.shardCalls)
	}
	row.Goodput = float64(figures.good) / p.Seconds
	cpuTime := to.process - from.process
	if received > 0 {
		row.CPUPerAttemptUs = float64(cpuTime) / float64(time.Microsecond) / float64(received)
	}
	row.Cores = cpuTime.Seconds() / to.at.Sub(from.at).Seconds()
	if all := to.all - from.all; all > 0 {
		row.MachineBusy = float64(to.busy-from.busy) / float64(all)
	}
	return row
}

func (r *Report) checkLimits() {
	for _, row := range r.Rows {
		if row.LagP99 > lagLimit {
			r.LimitedBy = append(r.LimitedBy, "arrival lag in "+row.Phase)
		}
		if row.MachineBusy > busyLimit {
			r.LimitedBy = append(r.LimitedBy, "machine busy in "+row.Phase)
		}
	}
}

// Row returns the row of the phase, or the zero Row if the phase has none.
func (r *Report) Row(phase string) Row {
	for _, row := range r.Rows {
		if row.Phase == phase {
			return row
		}
	}
	return Row{}
}

// SummarizeWindow summarizes the searches of a phase whose intended start is at an offset in [from, to) from the start of
// the phase.
func (r *Report) SummarizeWindow(phase string, from, to time.Duration) Figures {
	start := startOf(r.phases, phase)
	return r.Summarize(func(s *load.Sample) bool {
		return r.phases[s.Phase].Name == phase && !s.Marked && s.At >= start+from && s.At < start+to
	})
}

// SummarizeDomain summarizes the searches of a phase at the hosts of a domain if in is true, or else at all other hosts.
func (r *Report) SummarizeDomain(phase string, domain yuccahinge.DomainID, in bool) Figures {
	return r.Summarize(func(s *load.Sample) bool {
		at := r.plan.domains[s.Host%len(r.plan.domains)]
		return r.phases[s.Phase].Name == phase && !s.Marked && (at == domain) == in
	})
}
