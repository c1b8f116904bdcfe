package system

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/cfgsvc"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

const (
	// waitLimit bounds every wait and request of a test.
	waitLimit = 30 * time.Second
	// pollInterval is the time between two checks of a condition that a test waits for.
	pollInterval = 5 * time.Millisecond

	billing     = "billing"
	dispatch    = "dispatch"
	shardCount  = 4
	domainCount = 3
	// searcherSlots is the number of requests that a searcher runs concurrently. It exceeds what the callers of any test
	// send, so that no request is refused for lack of capacity.
	searcherSlots = 32

	// pauseLimit is the gap between timer ticks above which a host counts itself as paused.
	pauseLimit = 500 * time.Millisecond
)

// system is the system under test: a platform, searchers and entry hosts, as separate processes.
type system struct {
	t        *testing.T
	hasLinks bool
	dir      string
	platform *process
	// platformAddr serves readers. platformControl takes publications and faults.
	platformAddr, platformControl string
	searchers                     []searcherInfo
	hosts                         []*host
	members                       []yuccahinge.Member
	services                      map[yuccahinge.ServiceName]*yuccahinge.Service
	ticket                        yuccahinge.TicketNumber
}

// announcement is the line that a stand-in prints once it listens.
type announcement struct {
	Listen    string         `json:"listen"`
	Control   string         `json:"control"`
	Searchers []searcherInfo `json:"searchers"`
}

type searcherInfo struct {
	ID      yuccahinge.SearcherID `json:"id"`
	Listen  string                `json:"listen"`
	Control string                `json:"control"`
}

// host is an entry host, with addresses and settings that stay the same when its process is restarted.
type host struct {
	*process
	member yuccahinge.Member
	file   string
	// link relays the calls of other hosts. It is nil if the system has no links.
	link *link
}

// newSystem starts a platform, two searchers per domain and n entry hosts, and waits until all hosts are ready.
func newSystem(t *testing.T, n int) *system { return (&system{t: t}).start(n) }

// newLinkedSystem starts a system in which the calls to each host from other hosts pass through a link.
func newLinkedSystem(t *testing.T, n int) *system { return (&system{t: t, hasLinks: true}).start(n) }

func (s *system) start(n int) *system {
	s.t.Helper()
	s.dir = s.t.TempDir()
	s.services = make(map[yuccahinge.ServiceName]*yuccahinge.Service)
	s.startPlatform()
	s.startSearchers()
	s.fillServices()
	s.publish()
	for i := range n {
		s.addHost(i)
	}
	s.putMembers()
	for _, h := range s.hosts {
		h.process = s.startHost(h)
	}
	for _, h := range s.hosts {
		s.waitUntilReady(h)
	}
	return s
}

func (s *system) startPlatform() {
	s.t.Helper()
	s.platform = startProcess(s.t, "platform", "standin", "platform", "--listen", freeAddr(s.t), "--control", freeAddr(s.t))
	r := readAnnouncement(s.t, s.platform)
	s.platformAddr, s.platformControl = r.Listen, r.Control
}

func (s *system) startSearchers() {
	s.t.Helper()
	var configs []server.Config
	for i := range 2 * domainCount {
		configs = append(configs, server.Config{
			ID: yuccahinge.SearcherID(fmt.Sprintf("s%d", i)), Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
			Slots: searcherSlots, MaxConnections: 200, MedianMs: 2, Seed: uint64(i + 1),
		})
	}
	file := filepath.Join(s.dir, "searchers.json")
	writeJSON(s.t, file, configs)
	s.searchers = readAnnouncement(s.t, startProcess(s.t, "searchers", "standin", "searcher", "--config", file)).Searchers
}

// fillServices defines a service of charges and a service of searches, each over all searchers.
func (s *system) fillServices() {
	var ids []yuccahinge.SearcherID
	for _, r := range s.searchers {
		ids = append(ids, r.ID)
	}
	whole := []yuccahinge.Shard{{To: yuccahinge.HashSlots, Searchers: ids}}
	s.services[billing] = &yuccahinge.Service{
		Kind: yuccahinge.KindCharge, DeadlineMs: 3000,
		Index: yuccahinge.Index{Version: 1, Shards: whole, Searchers: s.directSearchers()},
	}
	var parts []yuccahinge.Shard
	for i := range uint32(shardCount) {
		width := uint32(yuccahinge.HashSlots / shardCount)
		parts = append(parts, yuccahinge.Shard{ID: yuccahinge.ShardID(i), From: i * width, To: (i + 1) * width, Searchers: ids})
	}
	s.services[dispatch] = &yuccahinge.Service{
		Kind: yuccahinge.KindSearch, Preference: yuccahinge.PreferCoverage, DeadlineMs: 3000,
		Index: yuccahinge.Index{Version: 1, Shards: parts, Searchers: s.directSearchers()},
	}
}

// directSearchers returns the searchers with their own addresses, not those of links.
func (s *system) directSearchers() map[yuccahinge.SearcherID]*yuccahinge.Searcher {
	all := make(map[yuccahinge.SearcherID]*yuccahinge.Searcher)
	for i, r := range s.searchers {
		all[r.ID] = &yuccahinge.Searcher{Addr: r.Listen, Domain: domainName(i), Slots: searcherSlots, Connections: 200}
	}
	return all
}

// publish publishes the services as the next ticket.
func (s *system) publish() {
	s.t.Helper()
	s.ticket++
	ticket := yuccahinge.Ticket{Number: s.ticket, Services: s.services}
	mustSend(s.t, "POST", "http://"+s.platformControl+"/publish", ticket, nil)
}

func (s *system) addHost(i int) *host {
	s.t.Helper()
	m := yuccahinge.Member{
		ID: fmt.Sprintf("h%d", i), Domain: domainName(i), Role: yuccahinge.RoleEntry, Status: yuccahinge.StatusLive,
		CallerAddr: freeAddr(s.t), PeerAddr: freeAddr(s.t), AdminAddr: freeAddr(s.t),
	}
	own := m.PeerAddr
	h := &host{file: filepath.Join(s.dir, m.ID+".json")}
	if s.hasLinks {
		h.link = newLink(s.t, own)
		m.PeerAddr = h.link.listen
	}
	h.member = m
	s.hosts = append(s.hosts, h)
	s.members = append(s.members, m)
	writeJSON(s.t, h.file, map[string]any{
		"cluster": "proof", "host": m.ID, "domain": m.Domain,
		"callersAddr": m.CallerAddr, "peersAddr": own, "peersPublicAddr": m.PeerAddr, "operatorsAddr": m.AdminAddr,
		"platform": []string{"http://" + s.platformAddr}, "seeds": s.seeds(),
		"limits": map[string]any{"pauseMs": pauseLimit.Milliseconds()},
		"drain":  map[string]any{"graceMs": 1000, "deadlineMs": 20000},
	})
	return h
}

// seeds returns the peer addresses of the first two hosts.
func (s *system) seeds() []string {
	var out []string
	for _, m := range s.members[:min(2, len(s.members))] {
		out = append(out, m.PeerAddr)
	}
	return out
}

func (s *system) putMembers() {
	s.t.Helper()
	mustSend(s.t, "PUT", "http://"+s.platformControl+"/members", cfgsvc.Members{Members: s.members}, nil)
}

// startHost starts a process of the host.
func (s *system) startHost(h *host) *process {
	s.t.Helper()
	return startProcess(s.t, h.member.ID, "yuccahinge", "serve", "--settings", h.file)
}

// restart starts a new process of a host whose last one has ended, and waits until it is ready.
func (s *system) restart(h *host) {
	s.t.Helper()
	h.process = s.startHost(h)
	s.waitUntilReady(h)
}

func (s *system) waitUntilReady(h *host) {
	s.t.Helper()
	eventually(s.t, h.member.ID+" is ready", func() bool { return isReady(h) })
}

// runs returns the number of runs of each business key, summed over all searchers.
func (s *system) runs() map[string]int {
	s.t.Helper()
	sum := make(map[string]int)
	for _, r := range s.searchers {
		var c server.Counters
		mustSend(s.t, "GET", "http://"+r.Control+"/control", nil, &c)
		for key, n := range c.RunsByKey {
			sum[key] += n
		}
	}
	return sum
}

// mustRun reports a test error unless a key ran want times.
func (s *system) mustRun(key string, want int) {
	s.t.Helper()
	if got := s.runs()[key]; got != want {
		s.t.Errorf("key %s ran %d times, want %d", key, got, want)
	}
}

// setFault sets a fault at all searchers.
func (s *system) setFault(f any) {
	s.t.Helper()
	for _, r := range s.searchers {
		mustSend(s.t, "POST", "http://"+r.Control+"/control", f, nil)
	}
}

func readAnnouncement(t *testing.T, p *process) announcement {
	t.Helper()
	var r announcement
	select {
	case line := <-p.firstLine:
		if err := json.Unmarshal(line, &r); err != nil {
			t.Fatalf("%s printed %q: %v\n%s", p.name, line, err, p.log.tail())
		}
	case <-time.After(waitLimit):
		t.Fatalf("%s printed no announcement", p.name)
	}
	return r
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitLimit, what)
}

func domainName(i int) yuccahinge.DomainID {
	return yuccahinge.DomainID(fmt.Sprintf("d%d", i%domainCount))
}

// portAllocator allocates ports below the range from which the kernel takes ephemeral ports.
var portAllocator = struct {
	sync.Mutex
	next int
}{next: 12000 + os.Getpid()%150*100}

func freeAddr(t *testing.T) string {
	t.Helper()
	portAllocator.Lock()
	defer portAllocator.Unlock()
	for range 1000 {
		portAllocator.next++
		if portAllocator.next > 31000 {
			portAllocator.next = 12000
		}
		addr := fmt.Sprintf("127.0.0.1:%d", portAllocator.next)
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

func writeJSON(t *testing.T, file string, v any) {
	t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, body, 0o600); err != nil {
		t.Fatal(err)
	}
}
