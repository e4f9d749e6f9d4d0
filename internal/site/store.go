package site

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store simulates the platform's metadata store in memory. It is an http.Handler.
type Store struct {
	lock sync.Mutex
	// era is the value of the header Store-Era; the header is not sent while it is
	// zero.
	era      uint64
	revision uint64
	items    map[string]item
	history  []item
	// compactedRevision is the revision up to which history was dropped; watches from
	// an earlier one get status 410.
	compactedRevision uint64
	// leaseExpiry and ttls have an entry for each lease in force, by its ID.
	leaseExpiry map[uint64]time.Time
	ttls        map[uint64]time.Duration
	// lastLease is the ID of the lease granted last.
	lastLease uint64
	// changed is closed and replaced at each change of the items.
	changed       chan struct{}
	down          bool
	answersToDrop int
	calls         int
	watchesPaused bool
	// rewrite changes what a VM writes to a key; nil leaves it as it is.
	rewrite func(key string, value []byte) []byte
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
		revision:    1,
		items:       map[string]item{},
		leaseExpiry: map[uint64]time.Time{},
		ttls:        map[uint64]time.Duration{},
		changed:     make(chan struct{}),
	}
}

// SetDown makes the store answer every call with status 503, or serve again. Watches
// that are already waiting are not affected.
func (s *Store) SetDown(down bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down = down
}

// DropAnswers makes the store abort the connections of the next n transactions
// after it has applied or rejected them, so that the callers get no answer.
func (s *Store) DropAnswers(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.answersToDrop = n
}

// Compact drops the history of changes, so that watches from an earlier revision get
// status 410 and have to read all keys again.
func (s *Store) Compact() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
}

// Copy is the content of a Store at a moment.
type Copy struct {
	revision    uint64
	items       map[string]item
	leaseExpiry map[uint64]time.Time
	ttls        map[uint64]time.Duration
	lastLease   uint64
}

// Copy returns a copy of the store's content, for Restore.
func (s *Store) Copy() Copy {
	s.lock.Lock()
	defer s.lock.Unlock()
	return Copy{
		revision: s.revision, items: maps.Clone(s.items), leaseExpiry: maps.Clone(s.leaseExpiry),
		ttls: maps.Clone(s.ttls), lastLease: s.lastLease,
	}
}

// Restore makes the store come back from a copy: what was written since is gone,
// leases too, revisions and leases are given out again, and the era rises by one.
// What the operators and the targets wrote is written again.
func (s *Store) Restore(c Copy) {
	s.lock.Lock()
	defer s.lock.Unlock()
	lost := s.items
	s.era++
	s.revision, s.items, s.lastLease = c.revision, maps.Clone(c.items), c.lastLease
	s.leaseExpiry, s.ttls = maps.Clone(c.leaseExpiry), maps.Clone(c.ttls)
	s.history = nil
	s.compactedRevision = s.revision
	for key, i := range lost {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			s.revision++
			s.put(key, i.Value, 0)
		}
	}
	s.notifyWatchers()
}

// SetEra sets the value of the header Store-Era; zero sends none.
func (s *Store) SetEra(era uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.era = era
}

// SetWatchesPaused makes watches return no events until they time out, or
// resumes delivery.
func (s *Store) SetWatchesPaused(paused bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.watchesPaused = paused
}

// Calls returns the number of HTTP calls received, including failed ones.
func (s *Store) Calls() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.calls
}

// Put writes the JSON of a value to a key. Unlike an HTTP transaction, it may write
// the keys of the operators and of the targets. It panics if the value has no JSON
// encoding.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic("site: " + err.Error())
	}
	s.PutBytes(key, text)
}

// PutBytes writes bytes to a key, which need not be JSON.
func (s *Store) PutBytes(key string, text []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	s.put(key, text, 0)
	s.notifyWatchers()
}

// Delete removes a key, if it exists.
func (s *Store) Delete(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatchers()
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

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the leases that have expired, and their keys. The lock is held.
func (s *Store) expire() {
	now := time.Now()
	for l, expiry := range s.leaseExpiry {
		if now.After(expiry) {
			s.removeLease(l)
		}
	}
}

func (s *Store) removeLease(l uint64) {
	delete(s.leaseExpiry, l)
	delete(s.ttls, l)
	for key, i := range s.items {
		if i.Lease == l {
			s.revision++
			s.remove(key)
		}
	}
	s.notifyWatchers()
}

// ServeHTTP implements http.Handler with the platform's store API under /kv-*.
func (s *Store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.lock.Lock()
	s.calls++
	s.expire()
	s.writeEra(w)
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
	code, body := s.handle(q)
	dropAnswer := q.Method == http.MethodPost && q.URL.Path == "/kv-txn" && s.answersToDrop > 0
	if dropAnswer {
		s.answersToDrop--
	}
	s.lock.Unlock()
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	reply(w, code, body)
}

// writeEra sets the header with the era, if there is one. The lock is held.
func (s *Store) writeEra(w http.ResponseWriter) {
	if s.era != 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// Encoding fails if the caller has closed its connection.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) handle(q *http.Request) (int, any) {
	path := q.URL.Path
	switch {
	case path == "/kv-key":
		return s.getKey(q.URL.Query().Get("key"))
	case path == "/kv-range":
		return http.StatusOK, s.listRange(q.URL.Query().Get("prefix"), q.URL.Query().Get("after"))
	case path == "/kv-txn":
		return s.transact(q)
	case path == "/kv-lease":
		return s.grantLease(q)
	case strings.HasPrefix(path, "/kv-keep/"):
		return s.renewLease(strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		return s.revokeLease(strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		return http.StatusNotFound, nil
	}
}

func (s *Store) getKey(key string) (int, any) {
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, map[string]uint64{"current_rev": s.revision}
	}
	return http.StatusOK, struct {
		item
		Current uint64 `json:"current_rev"`
	}{i, s.revision}
}

// pageSize is the most items in one answer to /kv-range. It is smaller than the
// platform's, so that tests cover listings of several pages.
const pageSize = 50

func (s *Store) listRange(prefix, after string) any {
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
		events, compacted, paused := s.eventsAfter(prefix, after), after < s.compactedRevision, s.watchesPaused
		revision, changed := s.revision, s.changed
		s.writeEra(w)
		s.lock.Unlock()
		switch {
		case (compacted || after > revision) && !paused:
			reply(w, http.StatusGone, nil)
			return
		case len(events) > 0 && !paused:
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

func (s *Store) eventsAfter(prefix string, after uint64) []item {
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
		if _, ok := s.leaseExpiry[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		value := p.Value
		if s.rewrite != nil {
			value = s.rewrite(p.Key, value)
		}
		s.put(p.Key, value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.notifyWatchers()
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

func (s *Store) grantLease(q *http.Request) (int, any) {
	body := struct {
		TTL int64 `json:"ttl_ms"`
	}{}
	if json.NewDecoder(q.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	s.lastLease++
	s.ttls[s.lastLease] = time.Duration(body.TTL) * time.Millisecond
	s.leaseExpiry[s.lastLease] = time.Now().Add(s.ttls[s.lastLease])
	return http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": body.TTL}
}

func (s *Store) renewLease(id string) (int, any) {
	l, _ := strconv.ParseUint(id, 10, 64)
	if _, ok := s.leaseExpiry[l]; !ok {
		return http.StatusNotFound, nil
	}
	s.leaseExpiry[l] = time.Now().Add(s.ttls[l])
	return http.StatusOK, map[string]any{"ttl_ms": s.ttls[l].Milliseconds()}
}

func (s *Store) revokeLease(id string) (int, any) {
	l, _ := strconv.ParseUint(id, 10, 64)
	if _, ok := s.leaseExpiry[l]; !ok {
		return http.StatusNotFound, nil
	}
	s.removeLease(l)
	return http.StatusOK, nil
}
