package yuccahinge

// MemberRole tells entry hosts from searchers in the membership list.
type MemberRole string

// The roles.
const (
	RoleEntry    MemberRole = "entry"
	RoleSearcher MemberRole = "searcher"
)

// MemberStatus is what is believed of a member.
type MemberStatus string

// The statuses.
const (
	StatusLive    MemberStatus = "live"
	StatusLeaving MemberStatus = "leaving"
	StatusSuspect MemberStatus = "suspect"
	StatusDead    MemberStatus = "dead"
)

// Member is a row of the membership list. Searchers carry ID, Domain, Role and Status only.
type Member struct {
	ID          string       `json:"id"`
	Domain      DomainID     `json:"domain"`
	Role        MemberRole   `json:"role"`
	Status      MemberStatus `json:"status"`
	Incarnation Incarnation  `json:"incarnation,omitempty"`
	CallerAddr  string       `json:"callerAddr,omitempty"`
	PeerAddr    string       `json:"peerAddr,omitempty"`
	AdminAddr   string       `json:"adminAddr,omitempty"`
	// Cores is the processor time that the host may use, in cores, and LinkMbps the speed of its link; zero if it does
	// not tell.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"linkMbps,omitempty"`
}
