package source

import (
	"testing"

	"github.com/yuccahinge/yuccahinge/ticket"
)

// FuzzReplies feeds arbitrary bytes to every decoder of platform replies. An accepted ticket must have the requested
// number, and an accepted state must pass its check.
func FuzzReplies(f *testing.F) {
	f.Add([]byte(`{"head":7}`))
	f.Add([]byte(`{"number":7,"calendars":{"et":{"holidays":["2026-03-20"]}}}`))
	f.Add([]byte(`{"ticket":1,"services":{},"calendars":{"et":{"holidays":[]}}}`))
	f.Add([]byte(`{"members":[{"id":"h1","domain":"a","role":"entry","status":"live"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = decodeHead(body)
		_, _ = decodeMembers(body)
		if x, err := decodeTicket(body, 7); err == nil && x.Number != 7 {
			t.Fatalf("decodeTicket accepted ticket %d, want 7", x.Number)
		}
		s, err := decodeState(body)
		if err != nil {
			return
		}
		if err := ticket.CheckState(s); err != nil {
			t.Fatal(err)
		}
	})
}
