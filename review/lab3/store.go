package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the metadata store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is a change in the history: an item as it was written, or a removal.
type event struct {
	item
	deleted bool
}

// store is a stand-in for the platform's metadata store and its promotion service. Each VM
// has a listener of its own, so that it can be cut off alone.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []event
	leases   map[uint64]lease
	last     uint64
	changed  chan struct{}
	cut      map[string]bool
	promote  func(vm, service, id, token string) int
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{}), cut: map[string]bool{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// listen returns the address of a new listener for one VM.
func (s *store) listen(vm string) string {
	l := must(net.Listen("tcp4", "127.0.0.1:0"))
	h := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.serve(vm, w, q) })
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// setCut cuts a VM off from the store, or ends the cut. Calls of a VM that is cut off get no
// answer and are not carried out.
func (s *store) setCut(vm string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[vm] = cut
}

func (s *store) isCut(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[vm]
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expiry) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(k)
		}
	}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, event{item: i})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, deleted: true})
}

// put writes a key for the operator or a server.
func (s *store) put(key string, value any) {
	text := must(json.Marshal(value))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, text, 0)
	s.wake()
}

// drop removes a key for the operator or a server.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(vm string, w http.ResponseWriter, q *http.Request) {
	if s.isCut(vm) {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	path := q.URL.Path
	switch {
	case path == "/promotion":
		b := struct{ Service, ID string }{}
		_ = json.NewDecoder(q.Body).Decode(&b)
		w.WriteHeader(s.promote(q.Header.Get("Duty-Holder"), b.Service, b.ID, q.Header.Get("Fence-Token")))
	case path == "/kv-watch":
		s.watch(vm, w, q)
	default:
		s.mu.Lock()
		s.expire()
		code, body := s.handle(path, q)
		s.mu.Unlock()
		answer(w, code, body)
	}
}

type found struct {
	item
	Current uint64 `json:"current_rev"`
}

func (s *store) handle(path string, q *http.Request) (int, any) {
	v := q.URL.Query()
	switch {
	case path == "/kv-key":
		i, ok := s.items[v.Get("key")]
		if !ok {
			return 404, map[string]uint64{"current_rev": s.revision}
		}
		return 200, found{i, s.revision}
	case path == "/kv-range":
		list := []item{}
		for k, i := range s.items {
			if strings.HasPrefix(k, v.Get("prefix")) && k > v.Get("after") {
				list = append(list, i)
			}
		}
		sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
		return 200, map[string]any{"items": list, "has_more": false, "current_rev": s.revision}
	case path == "/kv-txn":
		return s.transact(q)
	case path == "/kv-lease":
		b := struct {
			TTL int64 `json:"ttl_ms"`
		}{}
		_ = json.NewDecoder(q.Body).Decode(&b)
		s.last++
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.leases[s.last] = lease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.last, "ttl_ms": b.TTL}
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseUint(path[len("/kv-keep/"):], 10, 64)
		l, ok := s.leases[id]
		if !ok {
			return 404, nil
		}
		l.expiry = time.Now().Add(l.ttl)
		s.leases[id] = l
		return 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[len("/kv-lease-end/"):], 10, 64)
		if _, ok := s.leases[id]; !ok {
			return 404, nil
		}
		s.end(id)
		return 200, map[string]any{}
	}
	return 404, nil
}

func (s *store) transact(q *http.Request) (int, any) {
	t := struct {
		Expected []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}{}
	if json.NewDecoder(q.Body).Decode(&t) != nil {
		return 400, nil
	}
	current := []item{}
	conflict := false
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		return 412, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return 404, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return 403, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.wake()
	return 200, map[string]uint64{"revision": s.revision}
}

func (s *store) watch(vm string, w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, _ := strconv.ParseUint(v.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(v.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.history {
			if e.Revision <= after || !strings.HasPrefix(e.Key, v.Get("prefix")) {
				continue
			}
			if e.deleted {
				events = append(events, map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
			} else {
				events = append(events, e.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if s.isCut(vm) {
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-limit:
			answer(w, 200, map[string]any{"events": events, "current_rev": revision})
			return
		case <-q.Context().Done():
			return
		}
	}
}
