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

// Platform simulates the platform's key-value service, its leases and its list of VMs.
// Set the exported fields before Handler is called.
type Platform struct {
	// VMListDelay is the time between the registration of a VM and its appearance in the
	// list of VMs.
	VMListDelay time.Duration
	// VMs are the VMs that are listed from the start.
	VMs []store.VM

	lock sync.Mutex
	keys map[string]store.KeyBody
	// changed is closed and replaced when a key changes.
	changed   chan struct{}
	leases    map[string]lease
	vms       map[string]listedVM
	outageEnd time.Time
	// answersToDrop is the number of the next successful writes that get no answer.
	answersToDrop int
}

type lease struct {
	holder string
	expiry time.Time
}

type listedVM struct {
	vm      store.VM
	addedAt time.Time
}

// FaultBody is the JSON body of PUT /v1/faults, which injects faults.
type FaultBody struct {
	// Outage is the time, in milliseconds, for which all calls are answered with status
	// 503, except those to /v1/faults.
	Outage int64 `json:"outage"`
	// DropAnswers is the number of the next successful writes whose answer is dropped.
	DropAnswers int `json:"lose"`
	// DeleteKeys deletes all keys.
	DeleteKeys bool `json:"forget"`
}

// Handler resets the platform to its initial state and returns the handler of its HTTP
// API.
func (p *Platform) Handler() http.Handler {
	p.keys = map[string]store.KeyBody{}
	p.changed = make(chan struct{})
	p.leases = map[string]lease{}
	p.vms = map[string]listedVM{}
	for _, vm := range p.VMs {
		p.vms[vm.Name] = listedVM{vm: vm}
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
		if p.inOutage(r) {
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Platform) inOutage(r *http.Request) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return time.Now().Before(p.outageEnd) && !strings.HasPrefix(r.URL.Path, "/v1/faults")
}

// reply writes a status and a JSON body. isWrite says that the answer is that of a
// successful write; if answers of writes are to be dropped, it aborts the connection
// instead.
func (p *Platform) reply(w http.ResponseWriter, code int, body any, isWrite bool) {
	p.lock.Lock()
	dropAnswer := isWrite && p.answersToDrop > 0
	if dropAnswer {
		p.answersToDrop--
	}
	p.lock.Unlock()
	if dropAnswer {
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
			p.reply(w, code, body, false)
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
	current := p.keys[key]
	if current.Revision != body.Revision {
		p.lock.Unlock()
		p.reply(w, http.StatusConflict, current, false)
		return
	}
	body.Revision++
	p.keys[key] = body
	close(p.changed)
	p.changed = make(chan struct{})
	p.lock.Unlock()
	p.reply(w, http.StatusOK, body, true)
}

func (p *Platform) putLease(w http.ResponseWriter, r *http.Request) {
	body := store.LeaseBody{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	now := time.Now()
	current := p.leases[r.PathValue("name")]
	if current.holder != body.Holder && now.Before(current.expiry) {
		p.lock.Unlock()
		p.reply(w, http.StatusConflict, struct{}{}, false)
		return
	}
	p.leases[r.PathValue("name")] = lease{holder: body.Holder, expiry: now.Add(time.Duration(body.TTLMS) * time.Millisecond)}
	p.lock.Unlock()
	p.reply(w, http.StatusOK, struct{}{}, true)
}

// deleteLease ends a lease if the holder named in the request has it. Otherwise it
// changes nothing and also answers 200, so that a release can be repeated after its
// answer was lost. Either answer is that of a write, which a fault can drop.
func (p *Platform) deleteLease(w http.ResponseWriter, r *http.Request) {
	p.lock.Lock()
	if p.leases[r.PathValue("name")].holder == r.FormValue("holder") {
		delete(p.leases, r.PathValue("name"))
	}
	p.lock.Unlock()
	p.reply(w, http.StatusOK, struct{}{}, true)
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	p.lock.Lock()
	vms := []store.VM{}
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		if l := p.vms[name]; time.Since(l.addedAt) >= p.VMListDelay {
			vms = append(vms, l.vm)
		}
	}
	p.lock.Unlock()
	p.reply(w, http.StatusOK, vms, false)
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	vm := store.VM{}
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = r.PathValue("name")
	p.lock.Lock()
	p.vms[vm.Name] = listedVM{vm: vm, addedAt: time.Now()}
	p.lock.Unlock()
	p.reply(w, http.StatusOK, vm, true)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	body := FaultBody{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	p.outageEnd = time.Now().Add(time.Duration(body.Outage) * time.Millisecond)
	p.answersToDrop = body.DropAnswers
	if body.DeleteKeys {
		p.keys = map[string]store.KeyBody{}
		close(p.changed)
		p.changed = make(chan struct{})
	}
	p.lock.Unlock()
	p.reply(w, http.StatusOK, struct{}{}, false)
}
