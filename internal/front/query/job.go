package query

import (
	"encoding/json"

	"github.com/yuccahinge/yuccahinge"
)

// job is what a run needs of the request that it serves, whichever front the request came through.
type job struct {
	request yuccahinge.RequestID
	service yuccahinge.ServiceName
	ticket  yuccahinge.TicketNumber
	index   *yuccahinge.Index
	// query and calendar go to searchers that speak the product's own protocol, message to all others.
	query    json.RawMessage
	calendar *yuccahinge.Calendar
	message  *yuccahinge.Message
}
