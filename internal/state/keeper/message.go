package keeper

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/spread"
)

// The methods that a Keeper answers.
const (
	// MethodExchange compares tickets, and carries changes of the membership and notices along.
	MethodExchange yuccahinge.PeerMethod = "keeper.exchange"
	// MethodCompare finds the rows of the roster that differ.
	MethodCompare yuccahinge.PeerMethod = "keeper.compare"
)

// gossip rides along on every exchange, both ways.
type gossip struct {
	From    roster.Row          `json:"from"`
	Rows    []roster.Row        `json:"rows,omitempty"`
	Sum     uint64              `json:"sum"`
	Notices []yuccahinge.Notice `json:"notices,omitempty"`
	// NoticeSum tells the notices that the sender knows from those of others.
	NoticeSum uint64 `json:"noticeSum"`
}

type exchangeRequest struct {
	Gossip gossip         `json:"gossip"`
	Ask    spread.Request `json:"ask"`
}

type exchangeReply struct {
	Gossip gossip       `json:"gossip"`
	Answer spread.Reply `json:"answer"`
}

// compareRequest carries the sums of the asking host, or the rows that it found to differ.
type compareRequest struct {
	From roster.Row             `json:"from"`
	Sums [roster.Buckets]uint64 `json:"sums"`
	Rows []roster.Row           `json:"rows,omitempty"`
	// NoRows asks for no rows.
	NoRows bool `json:"noRows,omitempty"`
	// Notices asks for every notice that stands.
	Notices bool `json:"notices,omitempty"`
}

type compareReply struct {
	From    roster.Row             `json:"from"`
	Sums    [roster.Buckets]uint64 `json:"sums"`
	Rows    []roster.Row           `json:"rows,omitempty"`
	Notices []yuccahinge.Notice    `json:"notices,omitempty"`
}
