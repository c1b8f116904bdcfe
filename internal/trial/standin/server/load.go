package server

import (
	"errors"
	"net/http"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/httpio"
)

const (
	// reportDelay is the age of delayed load reports.
	reportDelay = 5 * time.Second
	// reportInterval is the minimum time between two kept reports, which bounds their number.
	reportInterval = 100 * time.Millisecond
)

var errReportsOff = errors.New("load reports are disabled by the loadReport fault")

func (i *instance) handleLoad(w http.ResponseWriter, _ *http.Request) {
	if i.searcher.faults.Load().LoadReport == ReportOff {
		httpio.WriteError(w, http.StatusServiceUnavailable, errReportsOff)
		return
	}
	httpio.WriteJSON(w, http.StatusOK, i.report())
}

// report returns the load, changed by the LoadReport fault.
func (i *instance) report() yuccahinge.LoadReport {
	f := i.searcher.faults.Load()
	current := i.accurateReport(f)
	switch f.LoadReport {
	case ReportOff:
		return yuccahinge.LoadReport{}
	case ReportIdle:
		current.Running, current.Queued = 0, 0
		return current
	case ReportDelayed:
		return i.delayedReport(current)
	}
	return current
}

func (i *instance) accurateReport(f *Faults) yuccahinge.LoadReport {
	running, queued := i.slots.usage()
	return yuccahinge.LoadReport{
		Searcher:    i.searcher.cfg.ID,
		Incarnation: i.incarnation,
		Slots:       i.searcher.cfg.Slots,
		Running:     running,
		Queued:      queued,
		Draining:    f.Drain,
		Versions:    f.Versions,
		MaxRate:     f.MaxRate,
	}
}

// delayedReport records the current report and returns the newest one that is at least reportDelay old, or the oldest
// one if none is.
func (i *instance) delayedReport(current yuccahinge.LoadReport) yuccahinge.LoadReport {
	i.reportsMu.Lock()
	defer i.reportsMu.Unlock()
	n := len(i.reports)
	if n == 0 || time.Since(i.reports[n-1].takenAt) >= reportInterval {
		i.reports = append(i.reports, timedReport{takenAt: time.Now(), report: current})
	}
	for len(i.reports) > 1 && time.Since(i.reports[1].takenAt) >= reportDelay {
		i.reports = i.reports[1:]
	}
	return i.reports[0].report
}
