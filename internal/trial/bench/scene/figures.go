package scene

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/drive"
)

// Figures sum up a selection of searches. Latencies are those of answered searches.
type Figures struct {
	P50  yuccahinge.Millis `json:"p50"`
	P99  yuccahinge.Millis `json:"p99"`
	P999 yuccahinge.Millis `json:"p999"`
	// RefusedP99 is the latency of refusals.
	RefusedP99   yuccahinge.Millis `json:"refusedP99"`
	CoverageMean float64           `json:"coverageMean"`
	CoverageMin  float64           `json:"coverageMin"`
	// Lacking counts answers that lack a shard, Reasons the lacking shards.
	Lacking int                       `json:"lacking"`
	Reasons map[yuccahinge.Reason]int `json:"reasons,omitempty"`
	// NotRun is the share of searches answered notRun.
	NotRun float64 `json:"notRun"`
	// Failed counts searches that ended neither in an answer nor in notRun.
	Failed int                     `json:"failed"`
	Codes  map[yuccahinge.Code]int `json:"codes,omitempty"`
	// LagP99 is how late the generator began searches.
	LagP99 yuccahinge.Millis `json:"lagP99"`

	count, needed, good int
}

// Histograms count microseconds up to a minute with three digits.
const (
	histogramMost   = 60_000_000
	histogramDigits = 3
	histogramUnit   = 1000
)

// Select sums up the searches that the function takes.
func (r *Report) Select(take func(s *drive.Sample) bool) Figures {
	f := Figures{CoverageMin: 1, Reasons: map[yuccahinge.Reason]int{}, Codes: map[yuccahinge.Code]int{}}
	answered := hdrhistogram.New(1, histogramMost, histogramDigits)
	refused := hdrhistogram.New(1, histogramMost, histogramDigits)
	lag := hdrhistogram.New(1, histogramMost, histogramDigits)
	var coverage float64
	for i := range r.samples {
		s := &r.samples[i]
		if s.Latency == 0 || !take(s) {
			continue
		}
		f.count++
		record(lag, s.Lag)
		switch {
		case s.IsAnswered():
			record(answered, s.Latency)
			coverage += s.Coverage()
			f.answer(s, r.plan.enough)
		case s.Outcome == yuccahinge.NotRun:
			record(refused, s.Latency)
			f.Codes[s.Code]++
			f.NotRun++
		default:
			f.needed += r.plan.fanOut
			f.Codes[s.Code]++
			f.Failed++
		}
	}
	f.P50, f.P99, f.P999 = quantile(answered, 50), quantile(answered, 99), quantile(answered, 99.9)
	f.RefusedP99 = quantile(refused, 99)
	f.LagP99 = quantile(lag, 99)
	if n := answered.TotalCount(); n > 0 {
		f.CoverageMean = coverage / float64(n)
	} else {
		f.CoverageMin = 0
	}
	if f.count > 0 {
		f.NotRun /= float64(f.count)
	}
	return f
}

func (f *Figures) answer(s *drive.Sample, enough float64) {
	f.needed += s.Asked
	f.CoverageMin = min(f.CoverageMin, s.Coverage())
	for reason, n := range s.Reasons {
		f.Reasons[reason] += n
	}
	if s.Covered < s.Asked {
		f.Lacking++
	}
	if s.Covered == s.Asked || (enough > 0 && s.Coverage() >= enough) {
		f.good++
	}
}

func record(h *hdrhistogram.Histogram, m yuccahinge.Millis) {
	_ = h.RecordValue(max(1, int64(m*histogramUnit)))
}

func quantile(h *hdrhistogram.Histogram, q float64) yuccahinge.Millis {
	return yuccahinge.Millis(h.ValueAtQuantile(q)) / histogramUnit
}
