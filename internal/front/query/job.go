package query

import (
	"encoding/json"

	"github.com/yuccahinge/yuccahinge"
)

// job holds the request data that a run needs, for a search or a forwarded request.
type job struct {
	request yuccahinge.RequestID
	service yuccahinge.ServiceName
	ticket  yuccahinge.TicketNumber
	index   *yuccahinge.Index
	// query and calendar are sent to searchers that use this project's own protocol, message to all others.
	query    json.RawMessage
	calendar *yuccahinge.Calendar
	message  *yuccahinge.HTTPRequest
}
