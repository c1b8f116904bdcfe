package poison

import (
	"strconv"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// keySeparator separates the fingerprint from the shard in the key of a NoticeSuspect.
const keySeparator = "/"

// Notice returns the notice that announces a verdict to the other hosts: Confirmed, or else Suspect with the shard
// that lost a searcher last.
func (q *Quarantine) Notice(f yuccahinge.Fingerprint, v Verdict, shard yuccahinge.ShardID) yuccahinge.Notice {
	key := strconv.FormatUint(uint64(f), 16)
	if v == Confirmed {
		return yuccahinge.Notice{Kind: yuccahinge.NoticePoisoned, Key: key, TTLMs: q.quarantineMs()}
	}
	key += keySeparator + strconv.FormatUint(uint64(shard), 10)
	return yuccahinge.Notice{Kind: yuccahinge.NoticeSuspect, Key: key, TTLMs: suspectMs}
}

// ApplyNotice applies a notice from another host and reports whether it put a query into quarantine. Notices of other kinds
// and malformed notices are ignored.
func (q *Quarantine) ApplyNotice(now yuccahinge.Millis, n yuccahinge.Notice) bool {
	head, tail, _ := strings.Cut(n.Key, keySeparator)
	f, err := strconv.ParseUint(head, 16, 64)
	if err != nil {
		return false
	}
	switch n.Kind {
	case yuccahinge.NoticePoisoned:
		return q.confirm(now, yuccahinge.Fingerprint(f), n.TTLMs)
	case yuccahinge.NoticeSuspect:
		if shard, err := strconv.ParseUint(tail, 10, 32); err == nil {
			q.addSuspect(now, yuccahinge.Fingerprint(f), yuccahinge.ShardID(shard))
		}
	}
	return false
}
