package watch

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// maxReported bounds the invalid entries that are reported at a time.
	maxReported = 64
	// maxDetailBytes bounds the reason in the report of an invalid entry.
	maxDetailBytes = 200
)

// problems holds the keys of the invalid entries that were reported. The zero value is ready to use.
type problems struct {
	reported map[string]bool
}

// update takes the changes that were read and calls report for each entry that has become invalid.
func (p *problems) update(b *yuccahinge.ChangeBatch, report func(detail string)) {
	listed := make(map[string]bool, len(b.Changes))
	for i := range b.Changes {
		c := &b.Changes[i]
		listed[c.Key] = true
		switch {
		case c.Problem == "":
			delete(p.reported, c.Key)
		case !p.reported[c.Key] && len(p.reported) < maxReported:
			if p.reported == nil {
				p.reported = make(map[string]bool)
			}
			p.reported[c.Key] = true
			report(fmt.Sprintf("%.*q: %.*s", maxDetailBytes, c.Key, maxDetailBytes, c.Problem))
		}
	}
	if !b.Snapshot {
		return
	}
	for key := range p.reported {
		if !listed[key] {
			delete(p.reported, key)
		}
	}
}
