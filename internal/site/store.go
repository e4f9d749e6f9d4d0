package site

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store. It is an
// http.Handler.
type Store struct {
	lock     sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// oldest is the lowest revision after which history is complete.
	oldest  uint64
	leases  map[uint64]time.Time
	lives   map[uint64]time.Duration
	next    uint64
	changed chan struct{}
	down    bool
	lose    int
	calls   int
	deaf    bool
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1,
		items:    map[string]item{},
		leases:   map[uint64]time.Time{},
		lives:    map[uint64]time.Duration{},
		changed:  make(chan struct{}),
	}
}

// SetDown makes the store refuse every call, or serve again.
func (s *Store) SetDown(down bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down = down
}

// Lose makes the next n writes lose their answers after they took effect.
func (s *Store) Lose(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lose = n
}

// Compact drops the history, as after an outage of watches.
func (s *Store) Compact() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.history = nil
	s.oldest = s.revision
}

// SetDeaf makes watches hear nothing, or hear again.
func (s *Store) SetDeaf(deaf bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.deaf = deaf
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.calls
}

// Put writes a key as the operator and the targets do.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic("site: " + err.Error())
	}
	s.PutBytes(key, text)
}

// PutBytes writes a key's bytes as they are.
func (s *Store) PutBytes(key string, text []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	s.put(key, text, 0)
	s.wake()
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

// Get returns a key's value; nil if there is none.
func (s *Store) Get(key string) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.items[key].Value
}

func (s *Store) put(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *Store) expire() {
	now := time.Now()
	for l, until := range s.leases {
		if now.After(until) {
			s.endLease(l)
		}
	}
}

func (s *Store) endLease(l uint64) {
	delete(s.leases, l)
	delete(s.lives, l)
	for key, i := range s.items {
		if i.Lease == l {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.lock.Lock()
	s.calls++
	s.expire()
	if s.down {
		s.lock.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if q.URL.Path == "/kv-watch" {
		s.lock.Unlock()
		s.watch(w, q)
		return
	}
	code, body := s.answer(q)
	lost := q.Method == http.MethodPost && q.URL.Path == "/kv-txn" && s.lose > 0
	if lost {
		s.lose--
	}
	s.lock.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, code, body)
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The caller may be gone.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) answer(q *http.Request) (int, any) {
	path := q.URL.Path
	switch {
	case path == "/kv-key":
		return s.read(q.URL.Query().Get("key"))
	case path == "/kv-range":
		return http.StatusOK, s.list(q.URL.Query().Get("prefix"), q.URL.Query().Get("after"))
	case path == "/kv-txn":
		return s.transact(q)
	case path == "/kv-lease":
		return s.grant(q)
	case strings.HasPrefix(path, "/kv-keep/"):
		return s.keep(strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		return s.end(strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		return http.StatusNotFound, nil
	}
}

func (s *Store) read(key string) (int, any) {
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, map[string]uint64{"current_rev": s.revision}
	}
	return http.StatusOK, struct {
		item
		Current uint64 `json:"current_rev"`
	}{i, s.revision}
}

// pageSize is smaller than the platform's, so that tests see several pages.
const pageSize = 50

func (s *Store) list(prefix, after string) any {
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	return map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *Store) watch(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	prefix := q.URL.Query().Get("prefix")
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.lock.Lock()
		s.expire()
		events, gone, deaf := s.since(prefix, after), after < s.oldest, s.deaf
		revision, changed := s.revision, s.changed
		s.lock.Unlock()
		switch {
		case gone && !deaf:
			reply(w, http.StatusGone, nil)
			return
		case len(events) > 0 && !deaf:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "current_rev": after})
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) []item {
	events := []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Store) transact(q *http.Request) (int, any) {
	t := transaction{}
	if json.NewDecoder(q.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

func (s *Store) grant(q *http.Request) (int, any) {
	b := struct {
		Life int64 `json:"ttl_ms"`
	}{}
	if json.NewDecoder(q.Body).Decode(&b) != nil {
		return http.StatusBadRequest, nil
	}
	s.next++
	s.lives[s.next] = time.Duration(b.Life) * time.Millisecond
	s.leases[s.next] = time.Now().Add(s.lives[s.next])
	return http.StatusOK, map[string]any{"lease": s.next, "ttl_ms": b.Life}
}

func (s *Store) keep(id string) (int, any) {
	l, _ := strconv.ParseUint(id, 10, 64)
	if _, ok := s.leases[l]; !ok {
		return http.StatusNotFound, nil
	}
	s.leases[l] = time.Now().Add(s.lives[l])
	return http.StatusOK, map[string]any{"ttl_ms": s.lives[l].Milliseconds()}
}

func (s *Store) end(id string) (int, any) {
	l, _ := strconv.ParseUint(id, 10, 64)
	if _, ok := s.leases[l]; !ok {
		return http.StatusNotFound, nil
	}
	s.endLease(l)
	return http.StatusOK, nil
}
