package edge

import (
	"slices"
	"sync"
	"time"
)

// silentBackoff is how long a VM that did not answer is not followed.
const silentBackoff = 2 * time.Second

// sourceLog is what a VM remembers of the VMs that it follows.
type sourceLog struct {
	lock sync.Mutex
	// silentUntil holds, by name, until when a VM is not followed since it did
	// not answer; seen holds the Confirmations of its last response.
	silentUntil map[string]time.Duration
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
		l.silentUntil[name] = now + silentBackoff
		return
	}
	delete(l.silentUntil, name)
	l.seen[name] = confirmations
	l.answeredAt = now
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
