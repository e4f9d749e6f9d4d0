package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"amaranthsill/store"
)

// Platform is a stand-in for the platform's key-value service and its list
// of VMs. It is an http.Handler. Set the exported fields before its first
// use.
type Platform struct {
	// Lag is how long a change of the list of VMs stays unseen.
	Lag time.Duration
	// VMs are on the list from the start.
	VMs []store.VM

	lock    sync.Mutex
	keys    map[string]store.KeyBody
	changed chan struct{}
	leases  map[string]lease
	vms     map[string]listed
	outage  time.Time
	lose    int
}

type lease struct {
	holder string
	until  time.Time
}

type listed struct {
	vm store.VM
	at time.Time
}

// FaultBody is the JSON of PUT /v1/faults: an outage in milliseconds, how many
// of the next writes lose their answer after they took effect, and whether all
// keys are lost.
type FaultBody struct {
	Outage int64 `json:"outage"`
	Lose   int   `json:"lose"`
	Forget bool  `json:"forget"`
}

// Handler returns the service's routes.
func (p *Platform) Handler() http.Handler {
	p.keys = map[string]store.KeyBody{}
	p.changed = make(chan struct{})
	p.leases = map[string]lease{}
	p.vms = map[string]listed{}
	for _, vm := range p.VMs {
		p.vms[vm.Name] = listed{vm: vm}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key}", p.getKey)
	mux.HandleFunc("PUT /v1/keys/{key}", p.putKey)
	mux.HandleFunc("PUT /v1/leases/{name}", p.putLease)
	mux.HandleFunc("DELETE /v1/leases/{name}", p.deleteLease)
	mux.HandleFunc("GET /v1/vms", p.getVMs)
	mux.HandleFunc("PUT /v1/vms/{name}", p.putVM)
	mux.HandleFunc("PUT /v1/faults", p.putFaults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.enter(r) {
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Platform) enter(r *http.Request) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return time.Now().Before(p.outage) && !strings.HasPrefix(r.URL.Path, "/v1/faults")
}

// answer writes a JSON body, or loses it.
func (p *Platform) answer(w http.ResponseWriter, code int, body any, wrote bool) {
	p.lock.Lock()
	lost := wrote && p.lose > 0
	if lost {
		p.lose--
	}
	p.lock.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (p *Platform) getKey(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("wait"))
	timer := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := ms > 0; ; {
		p.lock.Lock()
		body, ok := p.keys[r.PathValue("key")]
		changed := p.changed
		p.lock.Unlock()
		if !waiting || body.Revision > after {
			code := http.StatusOK
			if !ok {
				code = http.StatusNotFound
			}
			p.answer(w, code, body, false)
			return
		}
		select {
		case <-changed:
		case <-timer:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) putKey(w http.ResponseWriter, r *http.Request) {
	body := store.KeyBody{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	key := r.PathValue("key")
	now := p.keys[key]
	if now.Revision != body.Revision {
		p.lock.Unlock()
		p.answer(w, http.StatusConflict, now, false)
		return
	}
	body.Revision++
	p.keys[key] = body
	close(p.changed)
	p.changed = make(chan struct{})
	p.lock.Unlock()
	p.answer(w, http.StatusOK, body, true)
}

func (p *Platform) putLease(w http.ResponseWriter, r *http.Request) {
	body := store.LeaseBody{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	now := time.Now()
	held := p.leases[r.PathValue("name")]
	if held.holder != body.Holder && now.Before(held.until) {
		p.lock.Unlock()
		p.answer(w, http.StatusConflict, struct{}{}, false)
		return
	}
	p.leases[r.PathValue("name")] = lease{holder: body.Holder, until: now.Add(time.Duration(body.Life) * time.Millisecond)}
	p.lock.Unlock()
	p.answer(w, http.StatusOK, struct{}{}, true)
}

func (p *Platform) deleteLease(w http.ResponseWriter, r *http.Request) {
	p.lock.Lock()
	if p.leases[r.PathValue("name")].holder == r.FormValue("holder") {
		delete(p.leases, r.PathValue("name"))
	}
	p.lock.Unlock()
	p.answer(w, http.StatusOK, struct{}{}, true)
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	p.lock.Lock()
	vms := []store.VM{}
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		if l := p.vms[name]; time.Since(l.at) >= p.Lag {
			vms = append(vms, l.vm)
		}
	}
	p.lock.Unlock()
	p.answer(w, http.StatusOK, vms, false)
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	vm := store.VM{}
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = r.PathValue("name")
	p.lock.Lock()
	p.vms[vm.Name] = listed{vm: vm, at: time.Now()}
	p.lock.Unlock()
	p.answer(w, http.StatusOK, vm, true)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	body := FaultBody{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	p.outage = time.Now().Add(time.Duration(body.Outage) * time.Millisecond)
	p.lose = body.Lose
	if body.Forget {
		p.keys = map[string]store.KeyBody{}
		close(p.changed)
		p.changed = make(chan struct{})
	}
	p.lock.Unlock()
	p.answer(w, http.StatusOK, struct{}{}, false)
}
