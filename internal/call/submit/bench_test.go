package submit

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func echo(w http.ResponseWriter, r *http.Request) {
	var c yuccahinge.ChargeCall
	_ = json.NewDecoder(r.Body).Decode(&c)
	_ = json.NewEncoder(w).Encode(yuccahinge.ChargeReply{RequestID: c.RequestID, Claim: c.Claim, Outcome: yuccahinge.Ran})
}

// BenchmarkCharge measures a charge on a new connection over loopback.
func BenchmarkCharge(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(echo))
	defer s.Close()
	var c Client
	searcher := &yuccahinge.Searcher{Addr: s.Listener.Addr().String()}
	b.ReportAllocs()
	for b.Loop() {
		if r := c.Charge(b.Context(), "s1", searcher, newCall()); r.Outcome != yuccahinge.Ran {
			b.Fatal(r.Err)
		}
	}
}

// BenchmarkReused measures the same request on a reused connection, for comparison.
func BenchmarkReused(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(echo))
	defer s.Close()
	text, _ := json.Marshal(newCall())
	b.ReportAllocs()
	for b.Loop() {
		resp, err := s.Client().Post(s.URL, "application/json", bytes.NewReader(text))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
