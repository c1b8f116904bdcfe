package entry

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/render"
)

func (s *Server) grant(w http.ResponseWriter, r *http.Request, id yuccahinge.RequestID) {
	var req yuccahinge.ClaimRequest
	if err := s.decode(w, r, &req); err != nil {
		writeError(w, id, err)
		return
	}
	if err := checkKey(req.Key); err != nil {
		writeError(w, id, err)
		return
	}
	g, err := s.Charger.Grant(r.Context(), req)
	if err != nil {
		writeError(w, id, err)
		return
	}
	render.JSON(w, http.StatusOK, g)
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request, id yuccahinge.RequestID) {
	ans, err := s.Charger.Lookup(r.Context(), yuccahinge.ClaimID(r.PathValue("claim")))
	if err != nil {
		writeError(w, id, err)
		return
	}
	ans.RequestID = id
	render.JSON(w, http.StatusOK, ans)
}

func (s *Server) charge(w http.ResponseWriter, r *http.Request, id yuccahinge.RequestID) {
	var body json.RawMessage
	if err := s.decode(w, r, &body); err != nil {
		writeError(w, id, withUnknownOutcome(r, err))
		return
	}
	req := &yuccahinge.ChargeRequest{
		RequestID: id,
		Service:   yuccahinge.ServiceName(r.PathValue("service")),
		Claim:     yuccahinge.ClaimID(r.Header.Get("Claim")),
		Body:      body,
	}
	if req.Claim == "" {
		s.requireClaim(w, r, req)
		return
	}
	ans, err := s.Charger.Charge(r.Context(), req)
	if err != nil {
		writeError(w, id, err)
		return
	}
	render.JSON(w, chargeStatus(ans.Outcome), ans)
}

// requireClaim refuses a charge without a claim and returns a new claim for its key.
func (s *Server) requireClaim(w http.ResponseWriter, r *http.Request, req *yuccahinge.ChargeRequest) {
	key := chargeKey(req.Body)
	if err := checkKey(key); err != nil {
		writeError(w, req.RequestID, err)
		return
	}
	g, err := s.Charger.Grant(r.Context(), yuccahinge.ClaimRequest{Service: req.Service, Key: key})
	if err != nil {
		writeError(w, req.RequestID, err)
		return
	}
	render.JSON(w, http.StatusPreconditionRequired, claimRequiredBody(req.RequestID, g))
}

// chargeKey returns the business key in the body, or a digest of the body if there is none.
func chargeKey(body json.RawMessage) string {
	var fields struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &fields) == nil && fields.Key != "" {
		return fields.Key
	}
	return digestKey(xxhash.Sum64(body))
}

func checkKey(key string) error {
	if key == "" {
		return invalidError("key is missing")
	}
	if len(key) > maxKeyBytes {
		return invalidError("key is longer than 256 bytes")
	}
	return nil
}

func chargeStatus(o yuccahinge.Outcome) int {
	switch o {
	case yuccahinge.Ran:
		return http.StatusOK
	case yuccahinge.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
