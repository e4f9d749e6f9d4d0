package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/catalog"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// peerDirectory is a directory of VMs alone, with a clock that the test moves.
type peerDirectory struct {
	*Directory
	now      time.Duration
	revision store.Revision
}

func newPeerDirectory() *peerDirectory {
	d := &peerDirectory{now: time.Hour, revision: 10}
	clock := func() time.Duration { return d.now }
	d.Directory = &Directory{
		Adapter: Adapter{ParseTargetKey: func(string) (string, bool) { return "", false }},
		Catalog: &catalog.Catalog{}, Self: "self", Log: logr.Discard(), Now: clock,
		Grants: &succession.Grants{Length: time.Second, Now: clock},
	}
	return d
}

// write applies an entry of a VM, and marks every change up to it as known.
func (d *peerDirectory) write(p Peer) {
	p.Zone, p.Address = "coban", "10.0.0.1:1"
	encoded, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	d.revision++
	d.Apply(store.Item{Key: vmPrefix + p.Name, Value: encoded, Revision: d.revision})
	d.MarkComplete(d.revision)
}

// recentPeer returns what the directory knows of a VM; false if it does not count it.
func (d *peerDirectory) recentPeer(name string) (recentPeer, bool) {
	for _, p := range d.recentPeers() {
		if p.Name == name {
			return p, true
		}
	}
	return recentPeer{}, false
}

func TestSilentVMReturnsAsOneThatIsNew(t *testing.T) {
	d := newPeerDirectory()
	d.write(Peer{Name: "x"})
	first, _ := d.recentPeer("x")
	d.now += time.Minute
	d.write(Peer{Name: "x", Silent: true})
	if p, _ := d.recentPeer("x"); !p.unheard || p.firstSeen != first.firstSeen {
		t.Errorf("silent VM: unheard %t, first seen %s; want true, %s", p.unheard, p.firstSeen, first.firstSeen)
	}
	if d.votes("x") {
		t.Error("silent VM votes")
	}
	if len(d.Peers()) != 1 {
		t.Error("silent VM is not taken as running any more")
	}
	d.now += time.Second
	d.write(Peer{Name: "x"})
	p, _ := d.recentPeer("x")
	if p.unheard || !p.returned || p.firstSeen != d.now {
		t.Errorf("VM that is back: unheard %t, returned %t, first seen %s; want false, true, %s", p.unheard, p.returned, p.firstSeen, d.now)
	}
}

func TestSilentVMReturnsAsNewAlsoAfterItsEntryExpired(t *testing.T) {
	d := newPeerDirectory()
	d.write(Peer{Name: "x"})
	d.write(Peer{Name: "x", Silent: true})
	d.recentPeers()
	d.revision++
	d.Apply(store.Item{Key: vmPrefix + "x", Revision: d.revision, Deleted: true})
	d.MarkComplete(d.revision)
	d.now += peerRetention + time.Second
	d.Expire()
	if p, ok := d.recentPeer("x"); !ok || !p.unheard {
		t.Errorf("VM whose entry expired: counted %t, unheard %t; want true, true", ok, p.unheard)
	}
	d.write(Peer{Name: "x"})
	if p, _ := d.recentPeer("x"); !p.returned || p.firstSeen != d.now {
		t.Errorf("VM that is back: returned %t, first seen %s; want true, %s", p.returned, p.firstSeen, d.now)
	}
}

// TestSilenceCountsOnceAllChangesBeforeItAreKnown guards against a VM that counts a
// silent one no more although it lacks a leader record that counts its yield.
func TestSilenceCountsOnceAllChangesBeforeItAreKnown(t *testing.T) {
	d := newPeerDirectory()
	d.write(Peer{Name: "x"})
	encoded, err := json.Marshal(Peer{Name: "x", Zone: "coban", Address: "10.0.0.1:1", Silent: true})
	if err != nil {
		t.Fatal(err)
	}
	d.Apply(store.Item{Key: vmPrefix + "x", Value: encoded, Revision: d.revision + 5})
	if p, _ := d.recentPeer("x"); p.unheard {
		t.Error("VM counts as unheard although changes before that are not known")
	}
	d.MarkComplete(d.revision + 5)
	if p, _ := d.recentPeer("x"); !p.unheard {
		t.Error("VM does not count as unheard")
	}
}

func TestStoppedVMHasNoPartInQuorums(t *testing.T) {
	d := newPeerDirectory()
	d.write(Peer{Name: "x"})
	d.recentPeers()
	d.write(Peer{Name: "x", Left: true})
	d.Expire()
	if _, counted := d.recentPeer("x"); counted {
		t.Error("stopped VM is asked to yield")
	}
	if len(d.Peers()) != 1 {
		t.Error("membership changed at once when a VM stopped, which would move connections if it only restarts")
	}
	d.write(Peer{Name: "x"})
	if p, ok := d.recentPeer("x"); !ok || !p.returned {
		t.Errorf("VM that started again: counted %t, returned %t; want true, true", ok, p.returned)
	}
}

func TestVMLearnsThatItIsTakenForSilent(t *testing.T) {
	d := newPeerDirectory()
	d.write(Peer{Name: "self"})
	if d.SelfRemovedRevision() != 0 {
		t.Error("VM takes itself for removed")
	}
	d.write(Peer{Name: "self", Silent: true})
	if got := d.SelfRemovedRevision(); got != d.revision {
		t.Errorf("removed at revision %s, want %s", got, d.revision)
	}
}

// TestVMThatStartedAgainLearnsThatItsEntrySaysLeft guards against a VM that serves callers
// while no other counts it, since the store wrote its entry of departure late.
func TestVMThatStartedAgainLearnsThatItsEntrySaysLeft(t *testing.T) {
	d := newPeerDirectory()
	d.Incarnation = "2"
	d.write(Peer{Name: "self", Incarnation: "1", Left: true})
	if d.selfSilencedRevision() != 0 {
		t.Error("VM takes itself for silenced when it starts")
	}
	d.write(Peer{Name: "self", Incarnation: "2"})
	d.write(Peer{Name: "self", Incarnation: "1", Left: true})
	if got := d.SelfRemovedRevision(); got != d.revision {
		t.Errorf("removed at revision %s, want %s", got, d.revision)
	}
	if got := d.selfSilencedRevision(); got != d.revision {
		t.Errorf("silenced at revision %s, want %s", got, d.revision)
	}
}

func TestVMsOfWhichOnlyTheStoreKnewAreAsked(t *testing.T) {
	d := newPeerDirectory()
	d.write(Peer{Name: "known"})
	d.write(Peer{Name: "gone"})
	encoded, err := json.Marshal(Peer{Name: "new", Zone: "coban", Address: "10.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	known := store.Item{Key: vmPrefix + "known", Revision: 11}
	d.ResetPeers([]store.Item{known, {Key: vmPrefix + "new", Value: encoded, Revision: 20}}, 21)
	if _, ok := d.recentPeer("new"); !ok {
		t.Error("VM of which only the store knew is not counted")
	}
	if d.votes("gone") || !d.votes("known") {
		t.Error("VM without an entry in the store votes, or one with an entry does not")
	}
}

func TestFollowersFallSilent(t *testing.T) {
	l := followerLog{}
	peers := []Peer{{Name: "a"}, {Name: "b"}}
	now := time.Hour
	if got := l.silent(peers, now); len(got) != 0 {
		t.Errorf("%v are silent when asked about for the first time", got)
	}
	now += followerSilence + time.Millisecond
	l.record("a", now)
	if got := l.silent(peers, now); len(got) != 1 || got[0].Name != "b" {
		t.Errorf("%v are silent, want b", got)
	}
}

// TestYieldOfASilentVMNeverCounts guards against a move that counts it since this VM does
// not know every change before the silence yet: those who do may not count the VM.
func TestYieldOfASilentVMNeverCounts(t *testing.T) {
	d := newPeerDirectory()
	d.write(Peer{Name: "x"})
	encoded, err := json.Marshal(Peer{Name: "x", Zone: "coban", Address: "10.0.0.1:1", Silent: true})
	if err != nil {
		t.Fatal(err)
	}
	d.ResetPeers([]store.Item{{Key: vmPrefix + "x", Value: encoded, Revision: d.revision + 5}}, d.revision+9)
	f := &fleet{VM: &VM{Now: d.Now}}
	p, _ := d.recentPeer("x")
	if m := f.member(p); !m.Silent {
		t.Error("yield of a silent VM counts")
	}
}

// TestSilentVMIsCountedByVMsThatStartedLater guards against a VM that moves a leadership
// without one that still answers callers, because that one's entry said Silent already when
// it was first read.
func TestSilentVMIsCountedByVMsThatStartedLater(t *testing.T) {
	d := newPeerDirectory()
	d.write(Peer{Name: "x", Silent: true})
	d.write(Peer{Name: "y", Left: true})
	if p, ok := d.recentPeer("x"); !ok || !p.Silent {
		t.Errorf("silent VM: counted %t, silent %t; want true, true", ok, p.Silent)
	}
	if d.votes("x") {
		t.Error("silent VM votes")
	}
	if _, ok := d.recentPeer("y"); ok {
		t.Error("stopped VM is asked to yield")
	}
	d.now += time.Second
	d.write(Peer{Name: "x"})
	if p, _ := d.recentPeer("x"); p.Silent || !p.returned || p.firstSeen != d.now {
		t.Errorf("VM that is back: silent %t, returned %t, first seen %s; want false, true, %s", p.Silent, p.returned, p.firstSeen, d.now)
	}
}

// TestYieldOfAVMWithoutAnEntryNeverCounts guards against a move that counts the yield of a
// VM that others, who learned of the end of its entry before, have dropped.
func TestYieldOfAVMWithoutAnEntryNeverCounts(t *testing.T) {
	d := newPeerDirectory()
	f := &fleet{VM: &VM{Now: d.Now}}
	d.write(Peer{Name: "x"})
	d.now += time.Minute
	d.recentPeers()
	d.revision++
	d.Apply(store.Item{Key: vmPrefix + "x", Revision: d.revision, Deleted: true})
	if p, ok := d.recentPeer("x"); !ok || f.member(p).Silent {
		t.Errorf("VM whose entry has just expired: counted %t, silent %t; want true, false", ok, f.member(p).Silent)
	}
	d.now += peerRetention + time.Second
	d.Expire()
	if p, ok := d.recentPeer("x"); !ok || !f.member(p).Silent {
		t.Errorf("VM whose entry is gone for long: counted %t, silent %t; want true, true", ok, f.member(p).Silent)
	}
	d.write(Peer{Name: "x"})
	if p, ok := d.recentPeer("x"); !ok || f.member(p).Silent || !p.returned || p.firstSeen != d.now {
		t.Errorf("VM that is back: counted %t, silent %t, returned %t, first seen %s; want true, false, true, %s", ok, f.member(p).Silent, p.returned, p.firstSeen, d.now)
	}
}
