package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/peer/peerpb"
	"amaranthsill/store"
)

// Timing of the search for silent VMs.
const (
	// silenceInterval is the time between two checks of the VMs that this one hears.
	silenceInterval = 150 * time.Millisecond
	// followerSilence is the time without a call from a VM that follows this one
	// after which it is asked whether it still runs. Such a VM calls again within
	// peerFollowTimeout and a round trip between regions.
	followerSilence = 650 * time.Millisecond
	// presenceTimeout bounds one question to a silent VM. It covers a new connection
	// and a round trip between regions.
	presenceTimeout = 300 * time.Millisecond
	// silenceJitter spreads the calls of the VMs that find the same one silent.
	silenceJitter = 100 * time.Millisecond
	// silenceTimeout bounds the call to the store.
	silenceTimeout = time.Second
	// recheckPause is how long a VM that was checked is left alone.
	recheckPause = time.Second
)

// followerLog is when the VMs that follow this one were last heard.
type followerLog struct {
	lock    sync.Mutex
	heardAt map[string]time.Duration
}

// record notes that a VM was heard.
func (l *followerLog) record(name string, now time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.heardAt == nil {
		l.heardAt = map[string]time.Duration{}
	}
	l.heardAt[name] = now
}

// silent returns which VMs were not heard for followerSilence. A VM that is asked about
// for the first time counts as just heard.
func (l *followerLog) silent(peers []Peer, now time.Duration) []Peer {
	l.lock.Lock()
	defer l.lock.Unlock()
	list := []Peer{}
	heardAt := map[string]time.Duration{}
	for _, p := range peers {
		at, known := l.heardAt[p.Name]
		if !known {
			at = now
		}
		heardAt[p.Name] = at
		if now-at > followerSilence {
			list = append(list, p)
		}
	}
	l.heardAt = heardAt
	return list
}

// silenceWatcher takes the vote from VMs that answer nobody, long before their entries
// expire. A VM that is gone when the others are split would otherwise be missing on both
// sides: neither has the majority that confirms the leader record, nor the half that
// moves a leadership.
//
// Nothing that the silent VM does is given up or begun elsewhere because of that: it
// counts as running for peerRetention, and registers again as soon as it learns what its
// entry says. It has a vote again once the others have known it for establishedAfter.
type silenceWatcher struct {
	*fleet
	// checkedUntil holds until when VMs are left alone.
	checkedUntil map[string]time.Duration
}

// run looks for silent VMs until the context ends.
func (w *silenceWatcher) run(ctx context.Context) {
	w.checkedUntil = map[string]time.Duration{}
	for ctx.Err() == nil {
		sleep(ctx, silenceInterval)
		if !w.reachesStore() {
			continue
		}
		wait := sync.WaitGroup{}
		for _, p := range w.suspects() {
			wait.Go(func() { w.check(ctx, p) })
		}
		wait.Wait()
	}
}

// reachesStore reports whether the store has confirmed the leader record lately.
func (w *silenceWatcher) reachesStore() bool {
	_, confirmedAt, confirmed := w.grants.StoreConfirmation()
	return confirmed && w.Now()-confirmedAt <= storeStaleAfter
}

// suspects returns the VMs that call this one, or that this one calls, and that have
// fallen silent.
func (w *silenceWatcher) suspects() []Peer {
	now := w.Now()
	m := w.directory.members()
	list := w.followers.silent(m.followers(w.Settings.Zone(), w.Settings.VM()), now)
	list = append(list, w.sources.silent(m.sources(w.Settings.Zone(), w.Settings.VM()), now)...)
	suspects := []Peer{}
	for _, p := range list {
		if w.directory.votes(p.Name) && now >= w.checkedUntil[p.Name] {
			w.checkedUntil[p.Name] = now + recheckPause
			suspects = append(suspects, p)
		}
	}
	return suspects
}

// check takes the vote from a VM if neither this one nor any other that is asked
// reaches it.
func (w *silenceWatcher) check(ctx context.Context, p Peer) {
	if w.answers(ctx, p) || w.answersAny(ctx, p) {
		w.followers.record(p.Name, w.Now())
		return
	}
	sleep(ctx, rand.N(silenceJitter))
	if !w.directory.votes(p.Name) || !w.reachesStore() {
		return
	}
	err := w.silence(ctx, p.Name)
	switch {
	case err == nil:
		w.Log.Info("VM answers nobody; it has no vote until it registers again", "peer", p.Name)
	case errors.Is(err, store.ErrConflict):
		w.Log.V(1).Info("entry of a silent VM has changed", "peer", p.Name)
	default:
		w.Log.Info("vote of a VM that answers nobody was not taken", "peer", p.Name, "reason", err.Error())
	}
}

// silence writes to the entry of a VM that it is silent. The entry keeps its lease, and
// so expires as it would have. The error wraps store.ErrConflict if the entry says so
// already, or changes meanwhile.
func (w *silenceWatcher) silence(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	i, _, err := w.Adapter.Store.Read(ctx, vmPrefix+name)
	if err != nil {
		return fmt.Errorf("read entry of silent VM: %w", err)
	}
	entry, err := decodePeer(i)
	if err != nil {
		return err
	}
	if entry.Silent || entry.Left || i.Lease == 0 {
		return store.ErrConflict
	}
	entry.Silent = true
	encoded, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode entry of silent VM: %w", err)
	}
	_, err = w.Adapter.Store.Apply(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: i.Key, Revision: i.Revision}},
		Puts:       []store.Put{{Key: i.Key, Value: encoded, Lease: i.Lease}},
	})
	if err != nil {
		return fmt.Errorf("write entry of silent VM: %w", err)
	}
	return nil
}

// answers reports whether a VM answers this one.
func (w *silenceWatcher) answers(ctx context.Context, p Peer) bool {
	_, ok := w.callGather(ctx, p, &peerpb.GatherRequest{}, presenceTimeout)
	return ok
}

// answersAny asks the VM once more, and others whether it answers them. It reports
// whether it answers any.
func (w *silenceWatcher) answersAny(ctx context.Context, p Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	witnesses := w.witnessesFor(p)
	answers := make(chan bool, len(witnesses)+1)
	go func() { answers <- w.answers(ctx, p) }()
	for _, n := range witnesses {
		go func() {
			r, err := w.client(n.Address).Witness(ctx, connect.NewRequest(&peerpb.WitnessRequest{Vm: p.Name}))
			answers <- err == nil && r.Msg.GetReaches()
		}()
	}
	for range len(witnesses) + 1 {
		if <-answers {
			return true
		}
	}
	return false
}

// maxPresenceWitnesses is how many other VMs are asked whether they reach a silent one.
const maxPresenceWitnesses = 2

// witnessesFor returns VMs that are asked whether they reach another one.
func (w *silenceWatcher) witnessesFor(p Peer) []Peer {
	list := []Peer{}
	for _, n := range w.sources.answering(w.witnesses("", p.Name), w.Now()) {
		if n.Name != p.Name && len(list) < maxPresenceWitnesses {
			list = append(list, n)
		}
	}
	return list
}

// reachesVM reports whether this VM reaches another one.
func (f *fleet) reachesVM(ctx context.Context, name string) bool {
	for _, p := range f.directory.members().peers {
		if p.Name == name {
			_, ok := f.callGather(ctx, p, &peerpb.GatherRequest{}, presenceTimeout)
			return ok
		}
	}
	return false
}
