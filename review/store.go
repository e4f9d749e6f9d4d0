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

// item is a key of the store, or a change of it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease with its time to live and its end.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store.
type store struct {
	lock     sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	last     uint64
	changed  chan struct{}
	address  string
}

// storeDelay is the time of an answer on the sheets of the small sites.
const storeDelay = 4 * time.Millisecond

func newStore() *store {
	s := &store{revision: 10, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	l := listen()
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.lock.Lock()
			s.expire()
			s.lock.Unlock()
		}
	}()
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	return l
}

func (s *store) put(key string, value []byte, l uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: l}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a key on behalf of the operator or of a server.
func (s *store) write(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		fatal("encode %s: %v", key, err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	s.put(key, b, 0)
	s.notify()
}

func (s *store) erase(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// ServeHTTP serves the calls of the page on the platform's store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.URL.Path == "/kv-watch" {
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		return
	}
	time.Sleep(storeDelay)
	s.lock.Lock()
	code, body := s.handle(r)
	s.lock.Unlock()
	answer(w, code, body)
}

func (s *store) handle(r *http.Request) (int, any) {
	s.expire()
	q, path := r.URL.Query(), r.URL.Path
	switch {
	case path == "/kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			return 404, map[string]any{"current_rev": s.revision}
		}
		return 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "current_rev": s.revision}
	case path == "/kv-range":
		list := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				list = append(list, i)
			}
		}
		sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
		return 200, map[string]any{"items": list, "has_more": false, "current_rev": s.revision}
	case path == "/kv-txn":
		return s.transact(r)
	case path == "/kv-lease":
		b := struct {
			TTL int64 `json:"ttl_ms"`
		}{}
		if json.NewDecoder(r.Body).Decode(&b) != nil {
			return 400, nil
		}
		ttl := max(time.Duration(b.TTL)*time.Millisecond, time.Second)
		s.last++
		s.leases[s.last] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.last, "ttl_ms": ttl.Milliseconds()}
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		l.end = time.Now().Add(l.ttl)
		return 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			return 404, nil
		}
		s.end(id)
		return 200, map[string]any{}
	}
	return 404, nil
}

func (s *store) transact(r *http.Request) (int, any) {
	t := struct {
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
	}{}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return 400, nil
	}
	list, failed := []item{}, false
	for _, e := range t.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		list = append(list, i)
		failed = failed || i.Revision != e.Revision
	}
	if failed {
		return 412, map[string]any{"items": list}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return 403, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.notify()
	return 200, map[string]any{"revision": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	limit := time.After(wait)
	for {
		s.lock.Lock()
		s.expire()
		events := []item{}
		i := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, e := range s.history[i:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.lock.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-limit:
			answer(w, 200, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
