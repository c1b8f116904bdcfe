package node

import (
	"k8s.io/klog/v2"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// requestCodes and above, up to stateCodes, are events of single requests.
	requestCodes yuccahinge.EventCode = 200
	stateCodes   yuccahinge.EventCode = 400
	// requestVerbosity is the klog level from which events of single requests are logged.
	requestVerbosity klog.Level = 2
)

// observe counts every event and logs it by its number.
func (n *Node) observe(e yuccahinge.Event) {
	n.meter.Count(e)
	if e.Code < requestCodes || e.Code >= stateCodes {
		klog.InfoS(e.Name, fields(e)...)
		return
	}
	if v := klog.V(requestVerbosity); v.Enabled() {
		v.InfoS(e.Name, fields(e)...)
	}
}

func fields(e yuccahinge.Event) []any {
	kv := []any{"code", int(e.Code), "host", e.Host}
	add := func(key, value string) {
		if value != "" {
			kv = append(kv, key, value)
		}
	}
	add("request", string(e.Request))
	add("service", string(e.Service))
	add("searcher", string(e.Searcher))
	add("claim", string(e.Claim))
	add("peer", e.Peer)
	add("detail", e.Detail)
	if e.Ticket != 0 {
		kv = append(kv, "ticket", e.Ticket)
	}
	return kv
}
