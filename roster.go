package yuccahinge

// Roster gives what this host believes of the entry hosts.
type Roster interface {
	// Members returns the entry hosts that are not dead, this one included, in the order of their ids.
	Members() []Member
	// Find returns the entry host with the id.
	Find(id HostID) (Member, bool)
}
