package opctl

import (
	"errors"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func said(id string, domain yuccahinge.DomainID, c yuccahinge.Confirmation) answer {
	return answer{member: yuccahinge.Member{ID: id, Domain: domain, Status: yuccahinge.StatusLive}, said: &c}
}

func TestJudge(t *testing.T) {
	yes := yuccahinge.Confirmation{Number: 5, InForce: true, Digest: "d", Head: 5, HeadDigest: "d"}
	later := yuccahinge.Confirmation{Number: 5, InForce: true, Digest: "d", Head: 7, HeadDigest: "x"}
	passedOver := yuccahinge.Confirmation{Number: 5, InForce: true, Head: 7, HeadDigest: "x"}
	strange := yuccahinge.Confirmation{Number: 5, InForce: true, Head: 7, HeadDigest: "y"}
	other := yuccahinge.Confirmation{Number: 5, InForce: true, Digest: "e", Head: 5, HeadDigest: "e"}
	no := yuccahinge.Confirmation{Number: 5, Head: 4}
	down := answer{member: yuccahinge.Member{ID: "z", Domain: "c"}, err: errors.New("down")}
	leaving := answer{member: yuccahinge.Member{ID: "z", Domain: "c", Status: yuccahinge.StatusLeaving}, err: errors.New("down")}
	tests := []struct {
		name    string
		answers []answer
		want    Verdict
	}{
		{"all", []answer{said("a", "a", yes), said("b", "b", yes)}, InForce},
		{"one behind", []answer{said("a", "a", yes), said("b", "b", no)}, NotYet},
		{"one down", []answer{said("a", "a", yes), down}, Unknown},
		{"one down and one behind", []answer{said("a", "a", no), down}, NotYet},
		{"one leaving", []answer{said("a", "a", yes), leaving}, InForce},
		{"two digests", []answer{said("a", "a", yes), said("b", "b", other)}, Conflict},
		{"took a later whole state", []answer{said("a", "a", later), said("b", "b", passedOver)}, InForce},
		{"took another whole state", []answer{said("a", "a", later), said("b", "b", strange)}, Unknown},
		{"nobody", nil, Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := judge(5, tt.answers); got.Verdict != tt.want {
				t.Fatalf("got %s, want %s: %+v", got.Verdict, tt.want, got)
			}
		})
	}
}
