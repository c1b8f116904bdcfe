package yuccahinge

// MemberRole distinguishes entry hosts from searchers in the membership list.
type MemberRole string

// Roles of members.
const (
	RoleEntry    MemberRole = "entry"
	RoleSearcher MemberRole = "searcher"
)

// MemberStatus is the last known status of a member.
type MemberStatus string

// Statuses of members.
const (
	StatusLive    MemberStatus = "live"
	StatusLeaving MemberStatus = "leaving"
	StatusSuspect MemberStatus = "suspect"
	StatusDead    MemberStatus = "dead"
)

// Member is an entry of the membership list. For a searcher only ID, Domain, Role and Status are set.
type Member struct {
	ID          string       `json:"id"`
	Domain      DomainID     `json:"domain"`
	Role        MemberRole   `json:"role"`
	Status      MemberStatus `json:"status"`
	Incarnation Incarnation  `json:"incarnation,omitempty"`
	CallerAddr  string       `json:"callerAddr,omitempty"`
	PeerAddr    string       `json:"peerAddr,omitempty"`
	AdminAddr   string       `json:"adminAddr,omitempty"`
	// Cores is the CPU limit of the host in cores, and LinkMbps the speed of its network link; zero if unknown.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"linkMbps,omitempty"`
}
