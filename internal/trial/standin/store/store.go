// Package store provides a stand-in for the platform's metadata store: a key-value store with revisions and watches.
package store

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the maximum number of items in one page, small enough that tests need several pages.
const pageSize = 40

// Item is a key with its value, or the deletion of a key, at the revision of the change.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Deleted bool   `json:"deleted,omitempty"`
	// text, if set, is sent in place of the item.
	text string
}

// Store is a key-value store that numbers its changes with revisions. The zero value is empty and ready to use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// compactedAt is the revision up to which the history is dropped; after it, the history is complete.
	compactedAt uint64
	down        bool
	changed     chan struct{}
	// epoch counts the copies from which the store has come back.
	epoch uint64
}

// Copy is the data of a store at one time.
type Copy struct {
	revision, compactedAt uint64
	items                 map[string]Item
	history               []Item
}

// HeaderEpoch names the response field that counts how often the store has come back from a copy.
const HeaderEpoch = "Store-Era"

// Put writes a key and returns the revision of the change.
func (s *Store) Put(key string, value []byte) uint64 {
	return s.apply(Item{Key: key, Value: value})
}

// PutText writes a key whose item is sent as text, which may be malformed, and returns the revision of the change.
func (s *Store) PutText(key, text string) uint64 { return s.apply(Item{Key: key, text: text}) }

// Delete removes a key; watches get an item with Deleted set.
func (s *Store) Delete(key string) { s.apply(Item{Key: key, Deleted: true}) }

// SetDown makes the store answer every request with 503, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Copy returns a copy of the data.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{s.revision, s.compactedAt, maps.Clone(s.items), slices.Clone(s.history)}
}

// Restore replaces the data by a copy of it. Changes since the copy are lost, and their revisions are given to the next ones.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compactedAt, s.items, s.history = c.revision, c.compactedAt, maps.Clone(c.items), slices.Clone(c.history)
	s.epoch++
	s.notify()
}

// notify wakes the watches. The caller holds the lock.
func (s *Store) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Compact drops the history, so that a watch from an earlier revision gets 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedAt = nil, s.revision
}

func (s *Store) apply(item Item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		s.items = make(map[string]Item)
	}
	s.revision++
	item.Rev = s.revision
	s.history = append(s.history, item)
	s.items[item.Key] = item
	if item.Deleted {
		delete(s.items, item.Key)
	}
	s.notify()
	return s.revision
}

// Handler returns the handler of the store's HTTP API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	return mux
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		setEpoch(w, s.epoch)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var items []Item
	for key, item := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	writePage(w, "items", items[:min(len(items), pageSize)], more, position{s.epoch, s.revision})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, status, changed := s.changesSince(after, r.FormValue("prefix"))
		if status != http.StatusOK {
			setEpoch(w, at.epoch)
			w.WriteHeader(status)
			return
		}
		if len(events) > 0 {
			writePage(w, "events", events, false, at)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writePage(w, "events", nil, false, at)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes after a revision to keys with a prefix, the present position, the HTTP status, and a
// channel that is closed at the next change. Only the status and the epoch are set if it is not 200.
func (s *Store) changesSince(after uint64, prefix string) ([]Item, position, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, position{epoch: s.epoch}, http.StatusServiceUnavailable, nil
	case after < s.compactedAt || after > s.revision:
		return nil, position{epoch: s.epoch}, http.StatusGone, nil
	}
	var changes []Item
	for _, item := range s.history {
		if item.Rev > after && strings.HasPrefix(item.Key, prefix) {
			changes = append(changes, item)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return changes, position{s.epoch, s.revision}, http.StatusOK, s.changed
}

// position is an epoch and a revision in it.
type position struct{ epoch, revision uint64 }

// writePage writes a page by hand, since an encoder refuses the malformed text of an item.
func writePage(w http.ResponseWriter, name string, items []Item, more bool, at position) {
	texts := make([]string, len(items))
	for i := range items {
		if texts[i] = items[i].text; texts[i] == "" {
			texts[i] = string(encode(items[i]))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	setEpoch(w, at.epoch)
	// A write fails only if the reader has disconnected.
	_, _ = fmt.Fprintf(w, `{"%s":[%s],"has_more":%v,"store_revision":%d}`, name, strings.Join(texts, ","), more, at.revision)
}

func setEpoch(w http.ResponseWriter, epoch uint64) {
	w.Header().Set(HeaderEpoch, strconv.FormatUint(epoch, 10))
}
