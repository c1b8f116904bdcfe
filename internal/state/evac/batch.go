package evac

import "github.com/yuccahinge/yuccahinge"

// Batch holds evacuations or their changes up to Revision, as read from the platform. All revisions are of one epoch.
type Batch struct {
	Epoch    yuccahinge.Epoch
	Revision yuccahinge.Revision
	// Snapshot means that Changes holds all evacuations and not the changes since an earlier read.
	Snapshot bool
	// IsPartial means that some evacuations or changes may be missing.
	IsPartial bool
	Changes   []Change
	// Problems says which keys name no failure domain and are ignored.
	Problems []string
}

// Change begins or ends the evacuation of a failure domain.
type Change struct {
	Domain   yuccahinge.DomainID
	Revision yuccahinge.Revision
	Ended    bool
}
