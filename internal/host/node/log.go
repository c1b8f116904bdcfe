package node

import (
	"k8s.io/klog/v2"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// Events from firstRequestCode up to, but not including, firstStateCode concern single requests.
	firstRequestCode yuccahinge.EventCode = 200
	firstStateCode   yuccahinge.EventCode = 400
	// requestVerbosity is the klog level at which events of single requests are logged.
	requestVerbosity klog.Level = 2
)

// observe updates the metrics for an event and logs it. Events of single requests are logged at requestVerbosity only.
func (n *Node) observe(e yuccahinge.Event) {
	n.meter.CountEvent(e)
	if e.Code < firstRequestCode || e.Code >= firstStateCode {
		klog.InfoS(e.Name, logFields(e)...)
		return
	}
	if v := klog.V(requestVerbosity); v.Enabled() {
		v.InfoS(e.Name, logFields(e)...)
	}
}

func logFields(e yuccahinge.Event) []any {
	keyValues := []any{"code", int(e.Code), "host", e.Host}
	add := func(key, value string) {
		if value != "" {
			keyValues = append(keyValues, key, value)
		}
	}
	add("request", string(e.Request))
	add("service", string(e.Service))
	add("searcher", string(e.Searcher))
	add("claim", string(e.Claim))
	add("peer", e.Peer)
	add("detail", e.Detail)
	if e.Ticket != 0 {
		keyValues = append(keyValues, "ticket", e.Ticket)
	}
	return keyValues
}
