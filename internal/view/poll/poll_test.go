package poll

import (
	"errors"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func replyOf(id string, domain yuccahinge.DomainID, c yuccahinge.Confirmation) reply {
	return reply{member: yuccahinge.Member{ID: id, Domain: domain, Status: yuccahinge.StatusLive}, confirmation: &c}
}

func TestBuildReport(t *testing.T) {
	confirmed := yuccahinge.Confirmation{Number: 5, InForce: true, Digest: "d", Head: 5, HeadDigest: "d"}
	confirmedLater := yuccahinge.Confirmation{Number: 5, InForce: true, Digest: "d", Head: 7, HeadDigest: "x"}
	sameSnapshot := yuccahinge.Confirmation{Number: 5, InForce: true, Head: 7, HeadDigest: "x"}
	otherSnapshot := yuccahinge.Confirmation{Number: 5, InForce: true, Head: 7, HeadDigest: "y"}
	otherDigest := yuccahinge.Confirmation{Number: 5, InForce: true, Digest: "e", Head: 5, HeadDigest: "e"}
	behind := yuccahinge.Confirmation{Number: 5, Head: 4}
	down := reply{member: yuccahinge.Member{ID: "z", Domain: "c"}, err: errors.New("down")}
	leaving := reply{member: yuccahinge.Member{ID: "z", Domain: "c", Status: yuccahinge.StatusLeaving}, err: errors.New("down")}
	tests := []struct {
		name    string
		replies []reply
		want    TicketStatus
	}{
		{"all", []reply{replyOf("a", "a", confirmed), replyOf("b", "b", confirmed)}, InForce},
		{"one behind", []reply{replyOf("a", "a", confirmed), replyOf("b", "b", behind)}, Pending},
		{"one down", []reply{replyOf("a", "a", confirmed), down}, Unknown},
		{"one down and one behind", []reply{replyOf("a", "a", behind), down}, Pending},
		{"one leaving", []reply{replyOf("a", "a", confirmed), leaving}, InForce},
		{"two digests", []reply{replyOf("a", "a", confirmed), replyOf("b", "b", otherDigest)}, Conflict},
		{"loaded the same later snapshot", []reply{replyOf("a", "a", confirmedLater), replyOf("b", "b", sameSnapshot)}, InForce},
		{"loaded another later snapshot", []reply{replyOf("a", "a", confirmedLater), replyOf("b", "b", otherSnapshot)}, Unknown},
		{"no host", nil, Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := buildReport(5, tt.replies); got.Status != tt.want {
				t.Fatalf("got %s, want %s: %+v", got.Status, tt.want, got)
			}
		})
	}
}
