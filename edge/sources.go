package edge

import (
	"slices"
	"sync"
	"time"
)

// How long a VM that did not answer is not asked. The time doubles with each call in a
// row that it leaves unanswered: while the network is split, calls to the other side
// delay those that are answered.
const (
	silentBackoff    = 2 * time.Second
	maxSilentBackoff = 8 * time.Second
)

// sourceLog is what a VM remembers of the VMs that it follows.
type sourceLog struct {
	lock sync.Mutex
	// silentUntil holds, by name, until when a VM is not followed since it did
	// not answer, and failures how many calls in a row it left unanswered; seen holds
	// the Confirmations of its last response.
	silentUntil map[string]time.Duration
	failures    map[string]int
	seen        map[string]uint64
	// answeredAt is when a VM last answered; negative if none ever did.
	answeredAt time.Duration
}

// recordAnswer notes a response with a number of confirmations, or that there was
// none.
func (l *sourceLog) recordAnswer(name string, now time.Duration, answered bool, confirmations uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !answered {
		l.recordFailure(name, now)
		return
	}
	delete(l.silentUntil, name)
	delete(l.failures, name)
	l.seen[name] = confirmations
	l.answeredAt = now
}

func (l *sourceLog) recordFailure(name string, now time.Duration) {
	if now < l.silentUntil[name] {
		// The call began before an earlier one failed.
		return
	}
	if l.failures == nil {
		l.failures = map[string]int{}
	}
	l.silentUntil[name] = now + min(silentBackoff<<min(l.failures[name], 8), maxSilentBackoff)
	l.failures[name]++
}

// patience returns how long to wait for a VM before the next one is asked as well: the
// given time, and none for a VM that left the last call unanswered.
func (l *sourceLog) patience(name string, usual time.Duration) time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.failures[name] > 0 {
		return 0
	}
	return usual
}

// forgive lets all VMs be asked again, as after a split of the network.
func (l *sourceLog) forgive() {
	l.lock.Lock()
	defer l.lock.Unlock()
	clear(l.silentUntil)
	clear(l.failures)
}

// lastSeen returns the Confirmations of a VM's last response.
func (l *sourceLog) lastSeen(name string) uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.seen[name]
}

// answering returns the VMs that have not left a call unanswered within
// silentBackoff.
func (l *sourceLog) answering(peers []Peer, now time.Duration) []Peer {
	l.lock.Lock()
	defer l.lock.Unlock()
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return now < l.silentUntil[p.Name] })
}

// silent returns the VMs that have left a call unanswered within silentBackoff.
func (l *sourceLog) silent(peers []Peer, now time.Duration) []Peer {
	l.lock.Lock()
	defer l.lock.Unlock()
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return now >= l.silentUntil[p.Name] })
}

// silentFor returns for how long no VM has answered.
func (l *sourceLog) silentFor(now time.Duration) time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	return now - l.answeredAt
}
