package scene

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/drive"
)

// Report is what one side of a run came to.
type Report struct {
	Side string `json:"side"`
	Rows []Row  `json:"rows"`
	// ConnectionsMost is the most connections at one searcher, ConnectionsRefused those above its cap.
	ConnectionsMost    int `json:"connectionsMost"`
	ConnectionsRefused int `json:"connectionsRefused"`
	Connects           int `json:"connects"`
	// Crashes counts crashed searchers by domain.
	Crashes map[yuccahinge.DomainID]int `json:"crashes,omitempty"`
	// Wrong counts answers whose hits are not those of the covered shards at the stated version.
	Wrong int `json:"wrong"`
	// Limited says why the generator or the machine, rather than the policy, was the limit; empty when not.
	Limited []string `json:"limited,omitempty"`
	// Trace is the time line of the search at p99 under the fault.
	Trace []string `json:"trace,omitempty"`

	plan    planFigures
	phases  []drive.Phase
	samples []drive.Sample
}

// planFigures are the parts of the plan that rows are counted by.
type planFigures struct {
	hosts   int
	domains []yuccahinge.DomainID
	enough  float64
	fanOut  int
}

// Row is one phase.
type Row struct {
	Phase    string  `json:"phase"`
	Seconds  float64 `json:"seconds"`
	Rate     float64 `json:"rate"`
	Searches int     `json:"searches"`
	Figures
	// Attempts is attempts received by searchers for each needed shard call of the searches not refused.
	Attempts float64 `json:"attempts"`
	// Goodput is good answers a second.
	Goodput float64 `json:"goodput"`
	// CPUPerCallUs is the processor time of the whole bench process for each attempt, in microseconds.
	CPUPerCallUs float64 `json:"cpuPerCallUs"`
	// MachineBusy is the busy share of all processors.
	MachineBusy float64 `json:"machineBusy"`
	Cores       float64 `json:"cores"`
}

const (
	// lagLimit is the arrival lag at p99 above which the generator was the limit.
	lagLimit = 5 * yuccahinge.Millis(1)
	// busyLimit is the busy share above which the machine was the limit.
	busyLimit = 0.85
)

func newReport(w *World, phases []drive.Phase, samples []drive.Sample, marks []mark) *Report {
	total := marks[len(marks)-1].total
	r := &Report{
		Side:               w.side.Name,
		ConnectionsMost:    total.ConnectionsMost,
		ConnectionsRefused: total.Refused,
		Connects:           total.Connects,
		Crashes:            w.Fleet.Total().Crashes,
		phases:             phases,
		samples:            samples,
		plan: planFigures{
			hosts:   w.Plan.Hosts,
			domains: w.Plan.Domains,
			enough:  w.Plan.EnoughCoverage,
			fanOut:  w.Plan.FanOut,
		},
	}
	r.moveInFlight()
	for i := range phases {
		if i > 0 {
			r.Rows = append(r.Rows, r.row(i, marks[i], marks[i+1]))
		}
	}
	for _, s := range samples {
		if s.Wrong {
			r.Wrong++
		}
	}
	r.findLimits()
	return r
}

// moveInFlight counts the searches that were in flight when the fault began as searches under the fault.
func (r *Report) moveInFlight() {
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

func (r *Report) row(i int, from, to mark) Row {
	p := r.phases[i]
	figures := r.Select(func(s *drive.Sample) bool { return s.Phase == i && !s.Marked })
	row := Row{Phase: p.Name, Seconds: p.Seconds, Rate: p.Rate, Searches: figures.count, Figures: figures}
	received := to.total.Received - from.total.Received
	if figures.needed > 0 {
		row.Attempts = float64(received) / float64(figures.needed)
	}
	row.Goodput = float64(figures.good) / p.Seconds
	spent := to.process - from.process
	if received > 0 {
		row.CPUPerCallUs = float64(spent) / float64(time.Microsecond) / float64(received)
	}
	row.Cores = spent.Seconds() / to.at.Sub(from.at).Seconds()
	if all := to.all - from.all; all > 0 {
		row.MachineBusy = float64(to.busy-from.busy) / float64(all)
	}
	return row
}

func (r *Report) findLimits() {
	for _, row := range r.Rows {
		if row.LagP99 > lagLimit {
			r.Limited = append(r.Limited, "arrival lag in "+row.Phase)
		}
		if row.MachineBusy > busyLimit {
			r.Limited = append(r.Limited, "machine busy in "+row.Phase)
		}
	}
}

// Row returns the row of the phase, or an empty one.
func (r *Report) Row(phase string) Row {
	for _, row := range r.Rows {
		if row.Phase == phase {
			return row
		}
	}
	return Row{}
}

// Within selects the searches of a phase that began in the span after its start.
func (r *Report) Within(phase string, from, to time.Duration) Figures {
	start := startOf(r.phases, phase)
	return r.Select(func(s *drive.Sample) bool {
		return r.phases[s.Phase].Name == phase && !s.Marked && s.At >= start+from && s.At < start+to
	})
}

// Of selects the searches of a phase at the hosts of a domain, or at all others.
func (r *Report) Of(phase string, domain yuccahinge.DomainID, in bool) Figures {
	return r.Select(func(s *drive.Sample) bool {
		at := r.plan.domains[s.Host%len(r.plan.domains)]
		return r.phases[s.Phase].Name == phase && !s.Marked && (at == domain) == in
	})
}
