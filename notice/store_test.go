package notice

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestNoticeIsNewOnceUntilExpiry(t *testing.T) {
	var s Store
	n := yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: "s1", Incarnation: "x", TTLMs: 1000}
	if !s.Add(0, n) || s.Add(500, n) {
		t.Fatal("Add did not report the notice as new exactly once")
	}
	if got := s.All(1400); len(got) != 1 || got[0].TTLMs != 100 {
		t.Fatalf("All = %v, want one notice with TTLMs 100", got)
	}
	if s.Expire(1400) || !s.Expire(1500) {
		t.Fatal("the notice did not expire at 1500")
	}
	for _, bad := range []yuccahinge.Notice{{}, {Kind: "other", Key: "k", TTLMs: 1}, {Kind: n.Kind, TTLMs: 1}} {
		if s.Add(0, bad) {
			t.Fatalf("Add accepted the invalid notice %v", bad)
		}
	}
}

func TestDeltaSendsEachNoticeEquallyOften(t *testing.T) {
	s := Store{MaxSends: 2}
	for _, key := range []string{"s1", "s2", "s3"} {
		s.Add(0, yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: key, TTLMs: 1000})
	}
	sent := make(map[string]int)
	for range 4 {
		for _, n := range s.Delta(1, 2) {
			sent[n.Key]++
		}
	}
	for key, n := range sent {
		if n != 2 {
			t.Fatalf("%s was sent %d times, want 2", key, n)
		}
	}
}

func TestChecksumDetectsMissingNotice(t *testing.T) {
	var here, there Store
	draining := yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: "s1", Incarnation: "x", TTLMs: 60000}
	here.Add(0, draining)
	if here.Checksum(1) == there.Checksum(1) {
		t.Fatal("the checksums are equal although a notice is missing")
	}
	there.Add(30, here.All(1)[0])
	if here.Checksum(31) != there.Checksum(31) {
		t.Fatal("the checksums of stores with the same notice differ")
	}
	if here.Checksum(59990) != there.Checksum(59990) {
		t.Fatal("the checksums differ just before the notice expires")
	}
}
