package syncer

import "github.com/yuccahinge/yuccahinge"

// historySize is the number of digests kept.
const historySize = 4096

// history keeps the digests of the newest ticket numbers that were in force.
type history struct {
	digests map[yuccahinge.TicketNumber]yuccahinge.Digest
	order   []yuccahinge.TicketNumber
}

func (h *history) add(n yuccahinge.TicketNumber, d yuccahinge.Digest) {
	if h.digests == nil {
		h.digests = make(map[yuccahinge.TicketNumber]yuccahinge.Digest)
	}
	h.digests[n] = d
	h.order = append(h.order, n)
	if len(h.order) > historySize {
		delete(h.digests, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history) digest(n yuccahinge.TicketNumber) yuccahinge.Digest { return h.digests[n] }
