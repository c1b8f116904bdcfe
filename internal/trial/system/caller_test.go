package system

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// reply is the response to a caller: an answer or a refusal. Err is set if no valid response arrived.
type reply struct {
	Status  int
	Claim   yuccahinge.ClaimID `json:"claim"`
	Outcome yuccahinge.Outcome `json:"outcome"`
	Reason  yuccahinge.Reason  `json:"reason"`
	State   string             `json:"state"`
	Ticket  yuccahinge.TicketNumber
	Error   struct {
		Code    yuccahinge.Code `json:"code"`
		Message string          `json:"message"`
	} `json:"error"`
	Coverage yuccahinge.Coverage `json:"coverage"`
	Hits     []yuccahinge.Hit    `json:"hits"`
	Err      error
}

// client is the default HTTP client of callers. It opens a connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}

// call sends one request and never resends it.
func call(ctx context.Context, c *http.Client, method, url string, header http.Header, body any) reply {
	text, err := json.Marshal(body)
	if err != nil {
		return reply{Err: err}
	}
	// NopCloser leaves the request without GetBody, so that the transport can't resend it.
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(text)))
	if err != nil {
		return reply{Err: err}
	}
	req.ContentLength = int64(len(text))
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.Do(req)
	if err != nil {
		return reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{Err: err}
	}
	r := reply{Status: resp.StatusCode}
	if err := json.Unmarshal(got, &r); err != nil {
		r.Err = fmt.Errorf("body %q: %w", got, err)
	}
	return r
}

// claim requests a claim from a host.
func (h *host) claim(ctx context.Context, key string) reply {
	r := yuccahinge.ClaimRequest{Service: billing, Key: key}
	return call(ctx, client, "POST", "http://"+h.member.CallerAddr+"/v1/claims", nil, r)
}

// charge sends a charge under a claim.
func (h *host) charge(ctx context.Context, claim yuccahinge.ClaimID, key string) reply {
	header := http.Header{"Claim": {string(claim)}}
	body := map[string]string{"key": key}
	return call(ctx, client, "POST", "http://"+h.member.CallerAddr+"/v1/charge/"+billing, header, body)
}

// lookup requests the outcome of a claim.
func (h *host) lookup(ctx context.Context, claim yuccahinge.ClaimID) reply {
	return call(ctx, client, "GET", "http://"+h.member.CallerAddr+"/v1/claims/"+string(claim), nil, nil)
}

// search sends a search to the dispatch service, which prefers full coverage to a fast answer.
func (h *host) search(ctx context.Context, c *http.Client) reply {
	body := map[string]any{"query": map[string]string{"text": "permit"}}
	return call(ctx, c, "POST", "http://"+h.member.CallerAddr+"/v1/search/"+dispatch, nil, body)
}

func isReady(h *host) bool {
	resp, err := client.Get("http://" + h.member.CallerAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// mustSend calls a stand-in and fails the test unless it answers with a 2xx status.
func mustSend(t *testing.T, method, url string, in, out any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	text, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 != 2 {
		t.Fatalf("%s %s: status %d, body %q, error %v", method, url, resp.StatusCode, body, err)
	}
	if out == nil {
		return
	}
	if err := json.Unmarshal(body, out); err != nil {
		t.Fatal(err)
	}
}
