package poll

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// Report is the status of a ticket on all hosts.
type Report struct {
	Number  yuccahinge.TicketNumber `json:"number"`
	Status  TicketStatus            `json:"verdict"`
	Domains []DomainReport          `json:"domains"`
}

// DomainReport is the status of a ticket in one failure domain.
type DomainReport struct {
	Domain yuccahinge.DomainID `json:"domain"`
	Status TicketStatus        `json:"verdict"`
	Hosts  []HostReport        `json:"hosts"`
}

// HostReport is the status of a ticket on one host.
type HostReport struct {
	Host   yuccahinge.HostID       `json:"host"`
	Addr   string                  `json:"addr"`
	Status TicketStatus            `json:"verdict"`
	Head   yuccahinge.TicketNumber `json:"head,omitempty"`
	Digest yuccahinge.Digest       `json:"digest,omitempty"`
	Detail string                  `json:"detail,omitempty"`
}

// reply is a host's confirmation, or the error of the request for it.
type reply struct {
	member       yuccahinge.Member
	confirmation *yuccahinge.Confirmation
	err          error
}

// buildReport combines the replies. A host whose request failed counts as Unknown, whatever the others replied.
func buildReport(n yuccahinge.TicketNumber, replies []reply) Report {
	common := commonDigest(replies)
	domains := make(map[yuccahinge.DomainID]*DomainReport)
	r := Report{Number: n, Status: Leaving}
	for _, re := range replies {
		h := hostReport(re, common)
		d := domains[re.member.Domain]
		if d == nil {
			d = &DomainReport{Domain: re.member.Domain, Status: Leaving}
			domains[re.member.Domain] = d
		}
		d.Hosts = append(d.Hosts, h)
		d.Status = worse(d.Status, h.Status)
		r.Status = worse(r.Status, h.Status)
	}
	for _, d := range domains {
		r.Domains = append(r.Domains, *d)
	}
	slices.SortFunc(r.Domains, func(a, b DomainReport) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	if r.Status == Leaving {
		// There is no live host, so the status of the ticket is unknown.
		r.Status = Unknown
	}
	return r
}

func hostReport(re reply, common yuccahinge.Digest) HostReport {
	h := HostReport{Host: yuccahinge.HostID(re.member.ID), Addr: re.member.AdminAddr}
	switch {
	case re.member.Status == yuccahinge.StatusLeaving:
		h.Status = Leaving
		return h
	case re.err != nil:
		h.Status = Unknown
		h.Detail = re.err.Error()
		return h
	}
	h.Head = re.confirmation.Head
	h.Digest = re.confirmation.Digest
	switch {
	case !re.confirmation.InForce:
		h.Status = Pending
	case re.confirmation.Digest == "":
		h.Status = Unknown
		h.Detail = "the host loaded a later state and never applied this ticket"
	case re.confirmation.Conflict || re.confirmation.Digest != common:
		h.Status = Conflict
		h.Detail = "hosts have different states for this ticket number"
	default:
		h.Status = InForce
	}
	return h
}

// commonDigest returns the digest that the most hosts confirmed. A host that skipped the ticket by loading a later
// snapshot has no digest of its own for it; the function first sets that digest in its confirmation, from a host
// with the same later state.
func commonDigest(replies []reply) yuccahinge.Digest {
	type head struct {
		number yuccahinge.TicketNumber
		digest yuccahinge.Digest
	}
	digestAt := make(map[head]yuccahinge.Digest)
	votes := make(map[yuccahinge.Digest]int)
	for _, re := range replies {
		if re.confirmation != nil && re.confirmation.InForce && re.confirmation.Digest != "" {
			digestAt[head{re.confirmation.Head, re.confirmation.HeadDigest}] = re.confirmation.Digest
			votes[re.confirmation.Digest]++
		}
	}
	for _, re := range replies {
		if re.confirmation != nil && re.confirmation.InForce && re.confirmation.Digest == "" {
			re.confirmation.Digest = digestAt[head{re.confirmation.Head, re.confirmation.HeadDigest}]
		}
	}
	var best yuccahinge.Digest
	for digest, count := range votes {
		if count > votes[best] || count == votes[best] && digest < best {
			best = digest
		}
	}
	return best
}

// Print writes the report as text, with a line for each failure domain and for each host without the ticket in force.
func (r *Report) Print(w io.Writer) {
	for _, d := range r.Domains {
		fmt.Fprintf(w, "%-12s %s (%d of %d hosts)\n", d.Domain, d.Status, d.count(InForce), len(d.Hosts)-d.count(Leaving))
		for _, h := range d.Hosts {
			if h.Status != InForce {
				fmt.Fprintf(w, "  %-10s %s, head %d %s\n", h.Host, h.Status, h.Head, h.Detail)
			}
		}
	}
	if r.Status == InForce {
		fmt.Fprintf(w, "ticket %d is in force everywhere, digest %s\n", r.Number, r.digest())
		return
	}
	fmt.Fprintf(w, "ticket %d is not confirmed everywhere: %s\n", r.Number, r.Status)
}

func (r *Report) digest() yuccahinge.Digest {
	for _, d := range r.Domains {
		for _, h := range d.Hosts {
			if h.Digest != "" {
				return h.Digest
			}
		}
	}
	return ""
}

func (d *DomainReport) count(s TicketStatus) int {
	n := 0
	for _, h := range d.Hosts {
		if h.Status == s {
			n++
		}
	}
	return n
}
