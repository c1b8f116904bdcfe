package event

import "github.com/yuccahinge/yuccahinge"

// Events of searchers and limits, numbered from 600.
const (
	SearcherDraining yuccahinge.EventCode = 600
	SearchersChanged yuccahinge.EventCode = 601
	DomainCut        yuccahinge.EventCode = 602
	DomainBack       yuccahinge.EventCode = 603
	HelperFailed     yuccahinge.EventCode = 604
)

var searcherNames = map[yuccahinge.EventCode]string{
	SearcherDraining: "searcherDraining",
	SearchersChanged: "searchersChanged",
	DomainCut:        "domainCut",
	DomainBack:       "domainBack",
	HelperFailed:     "helperFailed",
}
