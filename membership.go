package yuccahinge

// Membership is this host's view of the membership of entry hosts.
type Membership interface {
	// Members returns the entry hosts that are not dead, including this one, sorted by id.
	Members() []Member
	// Find returns the entry host with the id, and false if there is none.
	Find(id HostID) (Member, bool)
}
