package syncer

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/spread"
)

// Peer methods that a Syncer serves.
const (
	// MethodExchange compares the tickets of two hosts and carries membership changes and notices.
	MethodExchange yuccahinge.PeerMethod = "keeper.exchange"
	// MethodCompare finds the membership rows that differ between two hosts.
	MethodCompare yuccahinge.PeerMethod = "keeper.compare"
)

// gossip is the membership, notice and evacuation data in every exchange request and reply.
type gossip struct {
	From    roster.Row          `json:"from"`
	Rows    []roster.Row        `json:"rows,omitempty"`
	Sum     uint64              `json:"sum"`
	Notices []yuccahinge.Notice `json:"notices,omitempty"`
	// NoticeSum is a checksum of the notices that the sender knows. A different sum shows that one side lacks some.
	NoticeSum uint64 `json:"noticeSum"`
	// Evacuations is the sender's set of evacuated failure domains; nil if it knows none.
	Evacuations *yuccahinge.Evacuations `json:"evacuations,omitempty"`
}

type exchangeRequest struct {
	Gossip gossip         `json:"gossip"`
	Ask    spread.Request `json:"ask"`
}

type exchangeReply struct {
	Gossip gossip       `json:"gossip"`
	Answer spread.Reply `json:"answer"`
}

// compareRequest carries the checksums of the requesting host, or the rows that it found to differ.
type compareRequest struct {
	From roster.Row                 `json:"from"`
	Sums [roster.BucketCount]uint64 `json:"sums"`
	Rows []roster.Row               `json:"rows,omitempty"`
	// NoRows leaves the rows out of the reply.
	NoRows bool `json:"noRows,omitempty"`
	// Notices requests every notice that has not expired.
	Notices bool `json:"notices,omitempty"`
	// Joining requests the rows that a host needs at its start in place of all that differ.
	Joining bool `json:"joining,omitempty"`
}

type compareReply struct {
	From    roster.Row                 `json:"from"`
	Sums    [roster.BucketCount]uint64 `json:"sums"`
	Rows    []roster.Row               `json:"rows,omitempty"`
	Notices []yuccahinge.Notice        `json:"notices,omitempty"`
}
