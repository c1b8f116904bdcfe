package yuccahinge

// Evacuations is the exact set of the failure domains that are evacuated at a position of the platform's store: nothing is sent to
// their searchers. The set with the later position replaces the other.
type Evacuations struct {
	Position Position   `json:"position"`
	Domains  []DomainID `json:"domains,omitempty"`
	// Earlier is the last known set of an earlier epoch; nil for none.
	Earlier *EarlierEvacuations `json:"earlier,omitempty"`
}

// EarlierEvacuations is the last known set of an earlier epoch of the platform's store.
type EarlierEvacuations struct {
	Position Position `json:"position"`
	// LeftMs holds for each evacuated domain how long it stays evacuated if the store has lost the evacuation.
	LeftMs map[DomainID]Millis `json:"leftMs,omitempty"`
	// LostMs holds the same for the domains whose evacuations the store had lost before that set.
	LostMs map[DomainID]Millis `json:"lostMs,omitempty"`
	// Settled holds the domains whose keys the store has had or the operator has written in the present epoch.
	Settled []DomainID `json:"settled,omitempty"`
}
