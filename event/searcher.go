package event

import "github.com/yuccahinge/yuccahinge"

// Events of searchers and limits, numbered from 600.
const (
	SearcherDraining yuccahinge.EventCode = 600
)

var searcherNames = map[yuccahinge.EventCode]string{
	SearcherDraining: "searcherDraining",
}
