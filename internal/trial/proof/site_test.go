package proof

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
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/back"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/plat"
)

const (
	// limit bounds every wait of a test.
	limit = 30 * time.Second
	// poll is the time between two looks at what a test waits for.
	poll = 5 * time.Millisecond

	billing  = "billing"
	dispatch = "dispatch"
	shards   = 4
	domains  = 3
	// slots is the number of requests that a searcher runs at once: more than the callers of any test send, so that none
	// is refused for want of capacity.
	slots = 32

	// pause is the gap after which a host counts itself as paused.
	pause = 500 * time.Millisecond
)

// site is a platform, searchers and entry hosts, each a process of its own.
type site struct {
	t        *testing.T
	linked   bool
	dir      string
	platform *process
	// platformAddr is for readers, platformControl for operators and faults.
	platformAddr, platformControl string
	searchers                     []searcherReady
	hosts                         []*host
	members                       []yuccahinge.Member
	services                      map[yuccahinge.ServiceName]*yuccahinge.Service
	ticket                        yuccahinge.TicketNumber
}

type ready struct {
	Listen    string          `json:"listen"`
	Control   string          `json:"control"`
	Searchers []searcherReady `json:"searchers"`
}

type searcherReady struct {
	ID      yuccahinge.SearcherID `json:"id"`
	Listen  string                `json:"listen"`
	Control string                `json:"control"`
}

// host is an entry host: an address that outlives its processes.
type host struct {
	*process
	member yuccahinge.Member
	file   string
	// link relays the calls of other hosts, if the site has links.
	link *link
}

// newSite starts a platform, two searchers a domain and n entry hosts, and waits until all are ready.
func newSite(t *testing.T, n int) *site { return (&site{t: t}).up(n) }

// newLinkedSite is a site in which every host reaches the others over a link before each.
func newLinkedSite(t *testing.T, n int) *site { return (&site{t: t, linked: true}).up(n) }

func (s *site) up(n int) *site {
	s.t.Helper()
	s.dir = s.t.TempDir()
	s.services = make(map[yuccahinge.ServiceName]*yuccahinge.Service)
	s.startPlatform()
	s.startSearchers()
	s.describe()
	s.publish()
	for i := range n {
		s.addHost(i)
	}
	s.putMembers()
	for _, h := range s.hosts {
		h.process = s.run(h)
	}
	for _, h := range s.hosts {
		s.waitReady(h)
	}
	return s
}

func (s *site) startPlatform() {
	s.t.Helper()
	s.platform = start(s.t, "platform", "standin", "platform", "--listen", freeAddr(s.t), "--control", freeAddr(s.t))
	r := announced(s.t, s.platform)
	s.platformAddr, s.platformControl = r.Listen, r.Control
}

func (s *site) startSearchers() {
	s.t.Helper()
	var configs []back.Config
	for i := range 2 * domains {
		configs = append(configs, back.Config{
			ID: yuccahinge.SearcherID(fmt.Sprintf("s%d", i)), Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
			Slots: slots, Connections: 200, MedianMs: 2, Seed: uint64(i + 1),
		})
	}
	file := filepath.Join(s.dir, "searchers.json")
	writeJSON(s.t, file, configs)
	s.searchers = announced(s.t, start(s.t, "searchers", "standin", "searcher", "--config", file)).Searchers
}

// describe fills the services: charges and searches, each over all searchers.
func (s *site) describe() {
	var ids []yuccahinge.SearcherID
	for _, r := range s.searchers {
		ids = append(ids, r.ID)
	}
	whole := []yuccahinge.Shard{{To: yuccahinge.KeySpace, Searchers: ids}}
	s.services[billing] = &yuccahinge.Service{
		Kind: yuccahinge.KindCharge, DeadlineMs: 3000,
		Index: yuccahinge.Index{Version: 1, Shards: whole, Searchers: s.direct()},
	}
	var parts []yuccahinge.Shard
	for i := range uint32(shards) {
		width := uint32(yuccahinge.KeySpace / shards)
		parts = append(parts, yuccahinge.Shard{ID: yuccahinge.ShardID(i), From: i * width, To: (i + 1) * width, Searchers: ids})
	}
	s.services[dispatch] = &yuccahinge.Service{
		Kind: yuccahinge.KindSearch, Preference: yuccahinge.PreferCoverage, DeadlineMs: 3000,
		Index: yuccahinge.Index{Version: 1, Shards: parts, Searchers: s.direct()},
	}
}

// direct returns the searchers at their own addresses.
func (s *site) direct() map[yuccahinge.SearcherID]*yuccahinge.Searcher {
	all := make(map[yuccahinge.SearcherID]*yuccahinge.Searcher)
	for i, r := range s.searchers {
		all[r.ID] = &yuccahinge.Searcher{Addr: r.Listen, Domain: domain(i), Slots: slots, Connections: 200}
	}
	return all
}

// publish puts the services out as the next ticket.
func (s *site) publish() {
	s.t.Helper()
	s.ticket++
	ticket := yuccahinge.Ticket{Number: s.ticket, Services: s.services}
	send(s.t, "POST", "http://"+s.platformControl+"/publish", ticket, nil)
}

func (s *site) addHost(i int) *host {
	s.t.Helper()
	m := yuccahinge.Member{
		ID: fmt.Sprintf("h%d", i), Domain: domain(i), Role: yuccahinge.RoleEntry, Status: yuccahinge.StatusLive,
		CallerAddr: freeAddr(s.t), PeerAddr: freeAddr(s.t), AdminAddr: freeAddr(s.t),
	}
	own := m.PeerAddr
	h := &host{file: filepath.Join(s.dir, m.ID+".json")}
	if s.linked {
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
		"limits": map[string]any{"pauseMs": pause.Milliseconds()},
		"drain":  map[string]any{"graceMs": 1000, "deadlineMs": 20000},
	})
	return h
}

// seeds returns the peer addresses of the first hosts.
func (s *site) seeds() []string {
	var out []string
	for _, m := range s.members[:min(2, len(s.members))] {
		out = append(out, m.PeerAddr)
	}
	return out
}

func (s *site) putMembers() {
	s.t.Helper()
	send(s.t, "PUT", "http://"+s.platformControl+"/members", plat.Members{Members: s.members}, nil)
}

// run starts a life of the host.
func (s *site) run(h *host) *process {
	s.t.Helper()
	return start(s.t, h.member.ID, "yuccahinge", "serve", "--settings", h.file)
}

// restart starts the next life of a host whose last one has ended.
func (s *site) restart(h *host) {
	s.t.Helper()
	h.process = s.run(h)
	s.waitReady(h)
}

func (s *site) waitReady(h *host) {
	s.t.Helper()
	eventually(s.t, h.member.ID+" is ready", func() bool { return isReady(h) })
}

// counters returns the sum over all searchers of the runs by business key.
func (s *site) runs() map[string]int {
	s.t.Helper()
	sum := make(map[string]int)
	for _, r := range s.searchers {
		var c back.Counters
		send(s.t, "GET", "http://"+r.Control+"/control", nil, &c)
		for key, n := range c.RunsByKey {
			sum[key] += n
		}
	}
	return sum
}

// mustRun checks how often a key ran.
func (s *site) mustRun(key string, want int) {
	s.t.Helper()
	if got := s.runs()[key]; got != want {
		s.t.Errorf("key %s ran %d times, want %d", key, got, want)
	}
}

// fault sets faults at all searchers.
func (s *site) fault(f any) {
	s.t.Helper()
	for _, r := range s.searchers {
		send(s.t, "POST", "http://"+r.Control+"/control", f, nil)
	}
}

func announced(t *testing.T, p *process) ready {
	t.Helper()
	var r ready
	select {
	case line := <-p.first:
		if err := json.Unmarshal(line, &r); err != nil {
			t.Fatalf("%s printed %q: %v\n%s", p.name, line, err, p.log.tail())
		}
	case <-time.After(limit):
		t.Fatalf("%s printed nothing", p.name)
	}
	return r
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(poll) {
		if ok() {
			return
		}
	}
	t.Fatalf("not so within %v: %s", limit, what)
}

func domain(i int) yuccahinge.DomainID { return yuccahinge.DomainID(fmt.Sprintf("d%d", i%domains)) }

// ports hands out addresses below the range from which the kernel takes its own.
var ports = struct {
	sync.Mutex
	next int
}{next: 12000 + os.Getpid()%150*100}

func freeAddr(t *testing.T) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range 1000 {
		ports.next++
		if ports.next > 31000 {
			ports.next = 12000
		}
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
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
