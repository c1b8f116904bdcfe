package event

import "github.com/yuccahinge/yuccahinge"

var catalogues = []map[yuccahinge.EventCode]string{
	processNames,
	searchNames,
	chargeNames,
	ticketNames,
	rosterNames,
	searcherNames,
}

// catalogue holds every name.
var catalogue = All()

// Name returns the catalogue name of a code, or "unnumbered".
func Name(code yuccahinge.EventCode) string {
	if name, ok := catalogue[code]; ok {
		return name
	}
	return "unnumbered"
}

// All returns the whole catalogue.
func All() map[yuccahinge.EventCode]string {
	all := make(map[yuccahinge.EventCode]string)
	for _, names := range catalogues {
		for code, name := range names {
			all[code] = name
		}
	}
	return all
}
