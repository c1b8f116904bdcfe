package token

import (
	"errors"
	"strings"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

const validClaim = "c1~host-1~inc.2~7~1700000000000~000000000000000a00000000000000ff"

func TestParseInvertsFormat(t *testing.T) {
	want := Token{Owner: "host-1", Incarnation: "inc.2", Sequence: 7, Expires: 1_700_000_000_000, Nonce: [2]uint64{10, 255}}
	id, err := want.Format()
	if err != nil || id != validClaim {
		t.Fatalf("Format() = %q, %v, want %q", id, err, validClaim)
	}
	if got, err := Parse(id); err != nil || got != want {
		t.Fatalf("Parse(%q) = %+v, %v, want %+v", id, got, err, want)
	}
}

func TestParseRejectsMalformed(t *testing.T) {
	for _, id := range []string{
		"", "c1", "nonsense", strings.Repeat("x", 10_000),
		strings.Replace(validClaim, "c1", "c2", 1),
		strings.Replace(validClaim, "host-1", "10.0.0.1:80", 1),
		strings.Replace(validClaim, "host-1", "", 1),
		strings.Replace(validClaim, "inc.2", strings.Repeat("i", 65), 1),
		strings.Replace(validClaim, "~7~", "~07~", 1),
		strings.Replace(validClaim, "~7~", "~-7~", 1),
		strings.Replace(validClaim, "~7~", "~+7~", 1),
		strings.Replace(validClaim, "1700000000000", "99999999999999999999", 1),
		strings.Replace(validClaim, "0ff", "0FF", 1),
		strings.Replace(validClaim, "0ff", "0f", 1),
		validClaim + "~", validClaim + "\n", " " + validClaim,
	} {
		_, err := Parse(yuccahinge.ClaimID(id))
		var e *yuccahinge.Error
		if !errors.As(err, &e) || e.Code != yuccahinge.CodeInvalid {
			t.Errorf("Parse(%.80q) = %v, want an error with code invalid", id, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validClaim)
	f.Add("c1~~~~~")
	f.Add("c1~a~b~1~2~")
	f.Fuzz(func(t *testing.T, s string) {
		id := yuccahinge.ClaimID(s)
		tok, err := Parse(id)
		if err != nil {
			return
		}
		if again, err := tok.Format(); err != nil || again != id {
			t.Fatalf("Parse(%q) formats as %q, %v", id, again, err)
		}
	})
}
