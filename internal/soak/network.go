package soak

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// maxHold is how long bytes are held by a cut before their connection is reset, as
	// ends of a connection do that get no acknowledgement.
	maxHold = 3 * time.Second
	// holdInterval is the time between two checks of whether a cut has healed.
	holdInterval = 5 * time.Millisecond
	// maxRetransmission bounds the time between the end of a cut and the arrival of what
	// was sent during it.
	maxRetransmission = 200 * time.Millisecond
)

// network knows which nodes are cut off from one another. Nodes are VMs, targets and
// the store, by name.
type network struct {
	lock sync.Mutex
	cuts map[[2]string]int
}

func newNetwork() *network { return &network{cuts: map[[2]string]int{}} }

// cut cuts each node of one list off from each of the other, in both directions, and
// returns the function that ends the cut. Cuts may overlap.
func (n *network) cut(from, to []string) func() {
	n.add(from, to, 1)
	return sync.OnceFunc(func() { n.add(from, to, -1) })
}

func (n *network) add(from, to []string, count int) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				n.cuts[[2]string{min(a, b), max(a, b)}] += count
			}
		}
	}
}

// reaches reports whether two nodes reach each other.
func (n *network) reaches(a, b string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.cuts[[2]string{min(a, b), max(a, b)}] <= 0
}

// heal ends all cuts.
func (n *network) heal() {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.cuts = map[[2]string]int{}
}

// path is the way from the client of a proxy to its server.
type path struct {
	network  *network
	from, to string
}

func (p *path) isCut() bool { return p != nil && !p.network.reaches(p.from, p.to) }

// hold waits while the path is cut, as TCP does with bytes that are not acknowledged, and
// returns false if that takes longer than maxHold.
func (p *path) hold() bool {
	if !p.isCut() {
		return true
	}
	for begun := time.Now(); p.isCut(); time.Sleep(holdInterval) {
		if time.Since(begun) > maxHold {
			return false
		}
	}
	time.Sleep(rand.N(maxRetransmission))
	return true
}

// pathOf returns the path of a connection that a VM opened to a node; nil if it was opened
// by none, or is gone.
func (r *Run) pathOf(client net.Conn, to string) *path {
	opener, ok := client.RemoteAddr().(*net.TCPAddr)
	accepted, isTCP := client.LocalAddr().(*net.TCPAddr)
	if !ok || !isTCP {
		return nil
	}
	socket, err := socketOf(opener, accepted)
	if err != nil {
		if !errors.Is(err, errNoSocket) {
			r.Logf("seed %d: the path of a connection to %s is not known: %v", r.Seed, to, err)
		}
		return nil
	}
	for _, v := range r.allVMs() {
		if v.owns(socket) {
			return &path{network: r.network, from: v.Name, to: to}
		}
	}
	return nil
}

// pathTo returns the function that finds the path of connections to a node; nil without
// a network.
func (r *Run) pathTo(node string) func(net.Conn) *path {
	if r.network == nil {
		return nil
	}
	return func(client net.Conn) *path { return r.pathOf(client, node) }
}

// rewriteEntry puts the addresses of a VM's proxies into its entry in the store.
func (r *Run) rewriteEntry(_ string, value []byte) []byte {
	entry := map[string]any{}
	if json.Unmarshal(value, &entry) != nil || entry["relay"] == nil {
		return value
	}
	for _, v := range r.allVMs() {
		if v.Name != entry["name"] {
			continue
		}
		entry["address"], entry["relay"] = v.peers.Address(), v.relay.Address()
		if text, err := json.Marshal(entry); err == nil {
			return text
		}
	}
	return value
}

// allVMs returns the VMs that exist so far.
func (r *Run) allVMs() []*VM {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.vms
}

// vmNames returns the names of some VMs.
func vmNames(vms []*VM) []string {
	names := make([]string, len(vms))
	for i, v := range vms {
		names[i] = v.Name
	}
	return names
}
