package poison

import (
	"strconv"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// separator stands between fingerprint and shard in the key of a NoticeSuspect.
const separator = "/"

// Notice returns what the other hosts are to hear of a query that is suspect, with the shard that lost a
// searcher last, or confirmed.
func (p *Poison) Notice(f yuccahinge.Fingerprint, v Verdict, shard yuccahinge.ShardID) yuccahinge.Notice {
	key := strconv.FormatUint(uint64(f), 16)
	if v == Confirmed {
		return yuccahinge.Notice{Kind: yuccahinge.NoticePoisoned, Key: key, TTLMs: p.hold()}
	}
	key += separator + strconv.FormatUint(uint64(shard), 10)
	return yuccahinge.Notice{Kind: yuccahinge.NoticeSuspect, Key: key, TTLMs: suspectMs}
}

// Hear takes another host's notice and reports whether it confirmed a query that was not confirmed here.
// Notices of other kinds and malformed ones change nothing.
func (p *Poison) Hear(now yuccahinge.Millis, n yuccahinge.Notice) bool {
	head, tail, _ := strings.Cut(n.Key, separator)
	f, err := strconv.ParseUint(head, 16, 64)
	if err != nil {
		return false
	}
	switch n.Kind {
	case yuccahinge.NoticePoisoned:
		return p.confirm(now, yuccahinge.Fingerprint(f), n.TTLMs)
	case yuccahinge.NoticeSuspect:
		if shard, err := strconv.ParseUint(tail, 10, 32); err == nil {
			p.suspect(now, yuccahinge.Fingerprint(f), yuccahinge.ShardID(shard))
		}
	}
	return false
}
