package event

import "github.com/yuccahinge/yuccahinge"

// Events of searchers and limits, numbered from 600.
const (
	SearcherDraining  yuccahinge.EventCode = 600
	SearcherEjected   yuccahinge.EventCode = 601
	SearcherRestored  yuccahinge.EventCode = 602
	SearcherRestarted yuccahinge.EventCode = 603
	LimitLowered      yuccahinge.EventCode = 604
	BudgetSpent       yuccahinge.EventCode = 605
)

var searcherNames = map[yuccahinge.EventCode]string{
	SearcherDraining:  "searcherDraining",
	SearcherEjected:   "searcherEjected",
	SearcherRestored:  "searcherRestored",
	SearcherRestarted: "searcherRestarted",
	LimitLowered:      "limitLowered",
	BudgetSpent:       "budgetSpent",
}
