package event

import "github.com/yuccahinge/yuccahinge"

// Events of searchers, failure domains and the hosts that help with a request, numbered from 600.
const (
	SearcherDraining yuccahinge.EventCode = 600
	SearchersChanged yuccahinge.EventCode = 601
	// DomainCut means that the searchers of a failure domain became unreachable from this host, and DomainBack
	// that they are reachable again.
	DomainCut  yuccahinge.EventCode = 602
	DomainBack yuccahinge.EventCode = 603
	// HelperFailed means that another host failed to which this host had delegated a request or some of its shards.
	HelperFailed yuccahinge.EventCode = 604
	// SearcherLimited means that a searcher names a maximum request rate, and SearcherUnlimited that it has stopped.
	SearcherLimited   yuccahinge.EventCode = 605
	SearcherUnlimited yuccahinge.EventCode = 606
	// SearcherLimitInvalid means that a searcher named a maximum request rate that can't be decoded.
	SearcherLimitInvalid yuccahinge.EventCode = 607
	// SearcherEntryInvalid means that an entry of the list of searchers names no searcher that can be used.
	SearcherEntryInvalid yuccahinge.EventCode = 608
	// SearcherHeld means that a searcher has refused a request and wants none from this host for a time.
	SearcherHeld yuccahinge.EventCode = 609
	// SearcherHoldInvalid means that a searcher named such a time that can't be decoded.
	SearcherHoldInvalid yuccahinge.EventCode = 610
	// SearchersKept means that searchers without an entry stay in the list for a time, since the platform may have been away.
	SearchersKept yuccahinge.EventCode = 611
	// DomainEvacuated means that nothing may be sent to the searchers of a failure domain, and DomainRestored that this is over.
	DomainEvacuated yuccahinge.EventCode = 612
	DomainRestored  yuccahinge.EventCode = 613
	// EvacuationInvalid means that a key asks for an evacuation and names no failure domain.
	EvacuationInvalid yuccahinge.EventCode = 614
	// SearchersCold means that searchers have become cold.
	SearchersCold yuccahinge.EventCode = 615
	// SearcherRejects is recorded when a searcher has rejected a request although it has free slots.
	SearcherRejects yuccahinge.EventCode = 620
	// SearcherAssessed means that a searcher has become slow or is in trouble, or no longer is.
	SearcherAssessed yuccahinge.EventCode = 621
)

var searcherNames = map[yuccahinge.EventCode]string{
	SearcherDraining: "searcherDraining",
	SearchersChanged: "searchersChanged",
	DomainCut:        "domainCut",
	DomainBack:       "domainBack",
	HelperFailed:     "helperFailed",

	SearcherLimited:      "searcherLimited",
	SearcherUnlimited:    "searcherUnlimited",
	SearcherLimitInvalid: "searcherLimitInvalid",
	SearcherEntryInvalid: "searcherEntryInvalid",
	SearcherHeld:         "searcherHeld",
	SearcherHoldInvalid:  "searcherHoldInvalid",
	SearchersKept:        "searchersKept",
	DomainEvacuated:      "domainEvacuated",
	DomainRestored:       "domainRestored",
	EvacuationInvalid:    "evacuationInvalid",
	SearchersCold:        "searchersCold",
	SearcherRejects:      "searcherRejects",
	SearcherAssessed:     "searcherAssessed",
}
