package opctl

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// Report says how far a ticket has come.
type Report struct {
	Number  yuccahinge.TicketNumber `json:"number"`
	Verdict Verdict                 `json:"verdict"`
	Domains []DomainReport          `json:"domains"`
}

// DomainReport says how far a ticket has come in one failure domain.
type DomainReport struct {
	Domain  yuccahinge.DomainID `json:"domain"`
	Verdict Verdict             `json:"verdict"`
	Hosts   []HostReport        `json:"hosts"`
}

// HostReport says how far a ticket has come on one host.
type HostReport struct {
	Host    yuccahinge.HostID       `json:"host"`
	Addr    string                  `json:"addr"`
	Verdict Verdict                 `json:"verdict"`
	Head    yuccahinge.TicketNumber `json:"head,omitempty"`
	Digest  yuccahinge.Digest       `json:"digest,omitempty"`
	Detail  string                  `json:"detail,omitempty"`
}

// answer is one host's word, or the error that stood in its place.
type answer struct {
	member yuccahinge.Member
	said   *yuccahinge.Confirmation
	err    error
}

// judge makes the report. A host that could not be asked is unknown, never assumed.
func judge(n yuccahinge.TicketNumber, answers []answer) Report {
	agreed := agreement(answers)
	domains := make(map[yuccahinge.DomainID]*DomainReport)
	r := Report{Number: n, Verdict: Leaving}
	for _, a := range answers {
		h := judgeHost(a, agreed)
		d := domains[a.member.Domain]
		if d == nil {
			d = &DomainReport{Domain: a.member.Domain, Verdict: Leaving}
			domains[a.member.Domain] = d
		}
		d.Hosts = append(d.Hosts, h)
		d.Verdict = worse(d.Verdict, h.Verdict)
		r.Verdict = worse(r.Verdict, h.Verdict)
	}
	for _, d := range domains {
		r.Domains = append(r.Domains, *d)
	}
	slices.SortFunc(r.Domains, func(a, b DomainReport) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	if r.Verdict == Leaving {
		// Nobody live was asked, so nothing is known.
		r.Verdict = Unknown
	}
	return r
}

func judgeHost(a answer, agreed yuccahinge.Digest) HostReport {
	h := HostReport{Host: yuccahinge.HostID(a.member.ID), Addr: a.member.AdminAddr}
	switch {
	case a.member.Status == yuccahinge.StatusLeaving:
		h.Verdict = Leaving
		return h
	case a.err != nil:
		h.Verdict = Unknown
		h.Detail = a.err.Error()
		return h
	}
	h.Head = a.said.Head
	h.Digest = a.said.Digest
	switch {
	case !a.said.InForce:
		h.Verdict = NotYet
	case a.said.Digest == "":
		h.Verdict = Unknown
		h.Detail = "the host holds a later state and never saw this one"
	case a.said.Conflict || a.said.Digest != agreed:
		h.Verdict = Conflict
		h.Detail = "hosts hold different states of one number"
	default:
		h.Verdict = InForce
	}
	return h
}

// agreement returns the digest that most confirming hosts gave. It first fills the digest of each host that
// passed the ticket over by taking a later whole state, from a host with that same later state.
func agreement(answers []answer) yuccahinge.Digest {
	type head struct {
		number yuccahinge.TicketNumber
		digest yuccahinge.Digest
	}
	known := make(map[head]yuccahinge.Digest)
	votes := make(map[yuccahinge.Digest]int)
	for _, a := range answers {
		if a.said != nil && a.said.InForce && a.said.Digest != "" {
			known[head{a.said.Head, a.said.HeadDigest}] = a.said.Digest
			votes[a.said.Digest]++
		}
	}
	for _, a := range answers {
		if a.said != nil && a.said.InForce && a.said.Digest == "" {
			a.said.Digest = known[head{a.said.Head, a.said.HeadDigest}]
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

// Print writes the report for people, a line for each failure domain and for each host that is not in force.
func (r *Report) Print(w io.Writer) {
	for _, d := range r.Domains {
		fmt.Fprintf(w, "%-12s %s (%d of %d hosts)\n", d.Domain, d.Verdict, d.count(InForce), len(d.Hosts)-d.count(Leaving))
		for _, h := range d.Hosts {
			if h.Verdict != InForce {
				fmt.Fprintf(w, "  %-10s %s, head %d %s\n", h.Host, h.Verdict, h.Head, h.Detail)
			}
		}
	}
	if r.Verdict == InForce {
		fmt.Fprintf(w, "ticket %d is in force everywhere, digest %s\n", r.Number, r.digest())
		return
	}
	fmt.Fprintf(w, "ticket %d is not confirmed everywhere: %s\n", r.Number, r.Verdict)
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

func (d *DomainReport) count(v Verdict) int {
	n := 0
	for _, h := range d.Hosts {
		if h.Verdict == v {
			n++
		}
	}
	return n
}
