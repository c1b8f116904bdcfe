package event

import "github.com/yuccahinge/yuccahinge"

// Events of searchers and limits, numbered from 600.
const (
	SearcherDraining yuccahinge.EventCode = 600
	SearchersChanged yuccahinge.EventCode = 601
)

var searcherNames = map[yuccahinge.EventCode]string{
	SearcherDraining: "searcherDraining",
	SearchersChanged: "searchersChanged",
}
