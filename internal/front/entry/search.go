package entry

import (
	"fmt"
	"net/http"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/render"
)

func (s *Server) search(w http.ResponseWriter, r *http.Request, id yuccahinge.RequestID) {
	req := &yuccahinge.SearchRequest{}
	if err := s.decode(w, r, req); err != nil {
		writeError(w, id, err)
		return
	}
	req.RequestID = id
	req.Service = yuccahinge.ServiceName(r.PathValue("service"))
	if err := s.checkSearch(req); err != nil {
		writeError(w, id, err)
		return
	}
	ans, err := s.Searcher.Search(r.Context(), req)
	if err != nil {
		writeError(w, id, err)
		return
	}
	writeAnswer(w, ans)
}

func (s *Server) checkSearch(r *yuccahinge.SearchRequest) error {
	if len(r.Query) == 0 {
		return invalidError("query is missing")
	}
	return s.checkDeadline(r.DeadlineMs)
}

func (s *Server) checkDeadline(d yuccahinge.Millis) error {
	if d < 0 {
		return invalidError(fmt.Sprintf("deadlineMs is %v, want at least 0", float64(d)))
	}
	if d > s.maxDeadline() {
		return invalidError(fmt.Sprintf("deadlineMs is %v, want at most %v", float64(d), float64(s.maxDeadline())))
	}
	return nil
}

func writeAnswer(w http.ResponseWriter, ans *yuccahinge.SearchAnswer) {
	covered := ans.Coverage.Total - len(ans.Coverage.Lacking)
	w.Header().Set("Coverage", fmt.Sprintf("%d/%d", covered, ans.Coverage.Total))
	status := http.StatusOK
	switch {
	case ans.Outcome == yuccahinge.NotRun:
		status = http.StatusServiceUnavailable
	case ans.Outcome == yuccahinge.Partial && covered == 0:
		status = http.StatusGatewayTimeout // an answer that covers no shard is no success, and 503 would promise that it did not run
	}
	render.JSON(w, status, ans)
}
