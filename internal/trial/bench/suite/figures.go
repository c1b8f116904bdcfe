package suite

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

// Figures summarize a selection of searches. P50, P99 and P999 are latencies of answered searches.
type Figures struct {
	P50  yuccahinge.Millis `json:"p50"`
	P99  yuccahinge.Millis `json:"p99"`
	P999 yuccahinge.Millis `json:"p999"`
	// RefusedP99 is the latency at p99 of searches that were refused (outcome notRun).
	RefusedP99   yuccahinge.Millis `json:"refusedP99"`
	CoverageMean float64           `json:"coverageMean"`
	CoverageMin  float64           `json:"coverageMin"`
	// Lacking counts the answers that lack a shard. Reasons counts the lacking shards by reason.
	Lacking int                       `json:"lacking"`
	Reasons map[yuccahinge.Reason]int `json:"reasons,omitempty"`
	// NotRun is the share of searches with outcome notRun.
	NotRun float64 `json:"notRun"`
	// Failed counts the searches that ended neither with an answer nor with outcome notRun.
	Failed int                     `json:"failed"`
	Codes  map[yuccahinge.Code]int `json:"codes,omitempty"`
	// LagP99 is how late at p99 the load generator started searches.
	LagP99 yuccahinge.Millis `json:"lagP99"`

	// shardCalls is the number of shards that the searches not refused had to query.
	count, shardCalls, good int
}

// Histograms record microseconds up to one minute with three significant digits.
const (
	histogramMax    = 60_000_000
	histogramDigits = 3
	microsPerMs     = 1000
)

// Summarize summarizes the searches for which the function returns true. Searches without a latency, which were never
// started, are left out.
func (r *Report) Summarize(include func(s *load.Sample) bool) Figures {
	f := Figures{CoverageMin: 1, Reasons: map[yuccahinge.Reason]int{}, Codes: map[yuccahinge.Code]int{}}
	answered := hdrhistogram.New(1, histogramMax, histogramDigits)
	refused := hdrhistogram.New(1, histogramMax, histogramDigits)
	lag := hdrhistogram.New(1, histogramMax, histogramDigits)
	var coverage float64
	for i := range r.samples {
		s := &r.samples[i]
		if s.Latency == 0 || !include(s) {
			continue
		}
		f.count++
		recordLatency(lag, s.Lag)
		switch {
		case s.IsAnswered():
			recordLatency(answered, s.Latency)
			coverage += s.Coverage()
			f.addAnswer(s, r.plan.enoughCoverage)
		case s.Outcome == yuccahinge.NotRun:
			recordLatency(refused, s.Latency)
			f.Codes[s.Code]++
			f.NotRun++
		default:
			f.shardCalls += r.plan.fanOut
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

func (f *Figures) addAnswer(s *load.Sample, enoughCoverage float64) {
	f.shardCalls += s.Asked
	f.CoverageMin = min(f.CoverageMin, s.Coverage())
	for reason, n := range s.Reasons {
		f.Reasons[reason] += n
	}
	if s.Covered < s.Asked {
		f.Lacking++
	}
	if s.Covered == s.Asked || (enoughCoverage > 0 && s.Coverage() >= enoughCoverage) {
		f.good++
	}
}

func recordLatency(h *hdrhistogram.Histogram, m yuccahinge.Millis) {
	_ = h.RecordValue(max(1, int64(m*microsPerMs)))
}

func quantile(h *hdrhistogram.Histogram, q float64) yuccahinge.Millis {
	return yuccahinge.Millis(h.ValueAtQuantile(q)) / microsPerMs
}
