// Package slack divides the extra attempts that a group of replicas may get regardless of its requests among the entry
// hosts.
package slack

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/share"
)

const (
	// defaultSettle is the time after a start without a share if SettleMs is zero.
	defaultSettle = 10 * yuccahinge.Second
	// expiry is how long lost hosts still count: those on the other side of a network partition go on sending extra
	// attempts.
	expiry = 3600 * yuccahinge.Second
	// dividedShare is the share of the slack that the known hosts divide among themselves. The rest covers hosts that are
	// not in the other hosts' membership lists yet.
	dividedShare = 0.75
	// strongShare is the share of the slack of a shard that strong hosts divide, if there are weak hosts too.
	strongShare = 0.65
)

// Divider calculates this host's share of the slack. Strong hosts send most attempts to shards and so divide most of the
// slack there. The zero value is ready to use. The instants must not decrease.
type Divider struct {
	// SettleMs is the time after a start during which the share is zero, since a restarted host has lost its count of the
	// attempts sent: at least the window for which the slack holds. Zero means 10 s.
	SettleMs yuccahinge.Millis
	// HasSeeds reports whether the settings name other hosts. If they do, the share is zero until one is known.
	HasSeeds bool

	mu       sync.Mutex
	started  bool
	start    yuccahinge.Millis
	hosts    share.Allocator
	strong   share.Allocator
	weak     share.Allocator
	hasWeak  bool
	isStrong bool
}

// SetMembers records the number of entry hosts that this host knows, itself included, how many of them are strong, and
// whether this host is.
func (d *Divider) SetMembers(now yuccahinge.Millis, hosts, strong int, isStrong bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.started {
		d.started, d.start = true, now
		d.hosts.SettleMs, d.strong.SettleMs, d.weak.SettleMs = expiry, expiry, expiry
	}
	d.hosts.SetHosts(now, hosts)
	d.strong.SetHosts(now, strong)
	d.weak.SetHosts(now, hosts-strong)
	d.hasWeak = strong < hosts
	d.isStrong = isStrong
}

// Share returns this host's share of the slack of a group of replicas, from 0 to 1. isShard reports whether the group is a
// shard.
func (d *Divider) Share(now yuccahinge.Millis, isShard bool) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.started || now < d.start+d.settle() || d.HasSeeds && d.hosts.Hosts() == 1 {
		return 0
	}
	switch {
	case !isShard || !d.hasWeak:
		return dividedShare / float64(d.hosts.Hosts())
	case d.isStrong:
		return strongShare / float64(d.strong.Hosts())
	default:
		return (dividedShare - strongShare) / float64(d.weak.Hosts())
	}
}

func (d *Divider) settle() yuccahinge.Millis {
	if d.SettleMs > 0 {
		return d.SettleMs
	}
	return defaultSettle
}
