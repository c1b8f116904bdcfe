package back

import (
	"errors"
	"net/http"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/wire"
)

const (
	// reportLag is how old a lagging load report is.
	reportLag = 5 * time.Second
	// reportEvery bounds how many reports are kept for lagging.
	reportEvery = 100 * time.Millisecond
)

var errNoReport = errors.New("load reports are off")

func (l *life) load(w http.ResponseWriter, _ *http.Request) {
	if l.s.faults.Load().LoadReport == ReportOff {
		wire.Problem(w, http.StatusServiceUnavailable, errNoReport)
		return
	}
	wire.Reply(w, http.StatusOK, l.report())
}

// report returns the load as the faults in force distort it.
func (l *life) report() yuccahinge.LoadReport {
	f := l.s.faults.Load()
	now := l.trueReport(f)
	switch f.LoadReport {
	case ReportOff:
		return yuccahinge.LoadReport{}
	case ReportLie:
		now.Running, now.Queued = 0, 0
		return now
	case ReportLag:
		return l.lagging(now)
	}
	return now
}

func (l *life) trueReport(f *Faults) yuccahinge.LoadReport {
	running, queued := l.slots.load()
	return yuccahinge.LoadReport{
		Searcher:    l.s.cfg.ID,
		Incarnation: l.incarnation,
		Slots:       l.s.cfg.Slots,
		Running:     running,
		Queued:      queued,
		Draining:    f.Drain,
		Versions:    f.Versions,
	}
}

// lagging keeps now for later and returns the newest report that is at least reportLag old.
func (l *life) lagging(now yuccahinge.LoadReport) yuccahinge.LoadReport {
	l.laterMu.Lock()
	defer l.laterMu.Unlock()
	n := len(l.later)
	if n == 0 || time.Since(l.later[n-1].at) >= reportEvery {
		l.later = append(l.later, timedReport{at: time.Now(), report: now})
	}
	for len(l.later) > 1 && time.Since(l.later[1].at) >= reportLag {
		l.later = l.later[1:]
	}
	return l.later[0].report
}
