package event

import "github.com/yuccahinge/yuccahinge"

var groups = []map[yuccahinge.EventCode]string{
	processNames,
	searchNames,
	chargeNames,
	ticketNames,
	memberNames,
	searcherNames,
}

// nameOf is built once, so that Name does not allocate.
var nameOf = Names()

// Name returns the name of a code, or "unnumbered" for an unknown code.
func Name(code yuccahinge.EventCode) string {
	if name, ok := nameOf[code]; ok {
		return name
	}
	return "unnumbered"
}

// Names returns a new map of every code to its name.
func Names() map[yuccahinge.EventCode]string {
	all := make(map[yuccahinge.EventCode]string)
	for _, names := range groups {
		for code, name := range names {
			all[code] = name
		}
	}
	return all
}
