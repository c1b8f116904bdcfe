package fleet

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
)

// Plan describes one service of a deployment, its entry hosts and its failure domains.
type Plan struct {
	Service yuccahinge.ServiceName `json:"service"`
	FanOut  int                    `json:"fanOut"`
	// Hosts is the number of entry hosts in all domains together.
	Hosts   int                   `json:"hosts"`
	Domains []yuccahinge.DomainID `json:"domains"`
	// CrossDomainDelayMs is the one-way network delay between domains, ClientDelayMs that between a client and an entry host.
	CrossDomainDelayMs yuccahinge.Millis `json:"betweenMs"`
	ClientDelayMs      yuccahinge.Millis `json:"clientMs"`
	// Replicas is the number of searchers for each shard, each in a different domain.
	Replicas    int               `json:"replicas"`
	Slots       int               `json:"slots"`
	MaxQueued   int               `json:"queue"`
	Connections int               `json:"connections"`
	ConnectMs   yuccahinge.Millis `json:"connectMs"`
	// MedianMs is the median of the log-normal service time, LogStdDev the standard deviation of its logarithm.
	MedianMs   yuccahinge.Millis     `json:"medianMs"`
	LogStdDev  float64               `json:"spread"`
	WarmupMs   yuccahinge.Millis     `json:"coldMs,omitempty"`
	RestartMs  yuccahinge.Millis     `json:"restartMs,omitempty"`
	Protocol   yuccahinge.Protocol   `json:"protocol"`
	Preference yuccahinge.Preference `json:"preference"`
	DeadlineMs yuccahinge.Millis     `json:"deadlineMs"`
	// SoftDeadlineMs and EnoughCoverage are set for services that prefer latency over coverage.
	SoftDeadlineMs yuccahinge.Millis `json:"softDeadlineMs,omitempty"`
	EnoughCoverage float64           `json:"enoughCoverage,omitempty"`
	VersionHoldMs  yuccahinge.Millis `json:"versionHoldMs"`
}

// Plans returns the services of both deployments at their current sizes.
func Plans() []Plan {
	return []Plan{
		consortium("trainerSearch", 20),
		consortium("brothAudit", 30),
		cooperative("dispatch", 20),
		cooperative("memberPortal", 30),
	}
}

func common(name yuccahinge.ServiceName, fanOut int) Plan {
	return Plan{
		Service:       name,
		FanOut:        fanOut,
		Hosts:         8,
		Domains:       []yuccahinge.DomainID{"a", "b", "c"},
		Replicas:      2,
		Slots:         2,
		MaxQueued:     64,
		Connections:   25,
		ConnectMs:     6,
		MedianMs:      20,
		LogStdDev:     0.25,
		WarmupMs:      5000,
		RestartMs:     2000,
		Protocol:      yuccahinge.HTTP1,
		DeadlineMs:    2000,
		VersionHoldMs: 30_000,
	}
}

func consortium(name yuccahinge.ServiceName, fanOut int) Plan {
	p := common(name, fanOut)
	p.CrossDomainDelayMs, p.ClientDelayMs = 1.5, 1
	p.Preference = yuccahinge.PreferLatency
	p.SoftDeadlineMs = 400
	p.EnoughCoverage = 0.9
	return p
}

func cooperative(name yuccahinge.ServiceName, fanOut int) Plan {
	p := common(name, fanOut)
	p.CrossDomainDelayMs, p.ClientDelayMs = 1, 3
	p.Preference = yuccahinge.PreferCoverage
	return p
}

// Capacity returns the number of queries per second that keeps all slots busy, from the mean of the log-normal service time.
func (p *Plan) Capacity() float64 {
	mean := float64(p.MedianMs) * math.Exp(p.LogStdDev*p.LogStdDev/2)
	return float64(p.Replicas*p.Slots) * float64(yuccahinge.Second) / mean
}

// HostDomain returns the domain of entry host i.
func (p *Plan) HostDomain(i int) yuccahinge.DomainID {
	return p.Domains[i%len(p.Domains)]
}

// searcherDomain returns the domain of a replica of a shard. Successive replicas are in different domains.
func (p *Plan) searcherDomain(shard, replica int) yuccahinge.DomainID {
	return p.Domains[(shard+replica)%len(p.Domains)]
}

// HasReplica reports whether the domain has a searcher for the shard.
func (p *Plan) HasReplica(shard int, domain yuccahinge.DomainID) bool {
	for replica := range p.Replicas {
		if p.searcherDomain(shard, replica) == domain {
			return true
		}
	}
	return false
}
