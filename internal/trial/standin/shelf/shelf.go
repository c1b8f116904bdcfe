// Package shelf provides the stand-in of the users' platform: a metadata store that can be read and watched.
package shelf

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems bounds the items of one page, few enough that tests need several.
const pageItems = 40

// Item is a key and its value, or the removal of a key.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Shelf is the store. The zero value is empty and ready to use.
type Shelf struct {
	mu      sync.Mutex
	at      uint64
	items   map[string]Item
	history []Item
	// from is the revision after which the history is whole.
	from    uint64
	down    bool
	changed chan struct{}
}

// Put writes a key and returns the revision.
func (s *Shelf) Put(key string, value []byte) uint64 {
	return s.write(Item{Key: key, Value: value})
}

// Delete removes a key.
func (s *Shelf) Delete(key string) { s.write(Item{Key: key, Deleted: true}) }

// SetDown makes the store refuse every call, or serve again.
func (s *Shelf) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Forget drops the history.
func (s *Shelf) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.from = nil, s.at
}

func (s *Shelf) write(it Item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		s.items = make(map[string]Item)
	}
	s.at++
	it.Rev = s.at
	s.history = append(s.history, it)
	s.items[it.Key] = it
	if it.Deleted {
		delete(s.items, it.Key)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return s.at
}

// Handler returns the calls of the store.
func (s *Shelf) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	return mux
}

func (s *Shelf) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var out []Item
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(out) > pageItems
	respond(w, map[string]any{"items": out[:min(len(out), pageItems)], "has_more": more, "store_revision": s.at})
}

func (s *Shelf) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, status, changed := s.since(after, r.FormValue("prefix"))
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "store_revision": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			respond(w, map[string]any{"events": []Item{}, "store_revision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes below a prefix, or the status of a refusal, and what is closed at the next change.
func (s *Shelf) since(after uint64, prefix string) ([]Item, uint64, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, 0, http.StatusServiceUnavailable, nil
	case after < s.from:
		return nil, 0, http.StatusGone, nil
	}
	var out []Item
	for _, it := range s.history {
		if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
			out = append(out, it)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return out, s.at, http.StatusOK, s.changed
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a reader that has gone needs no answer
}
