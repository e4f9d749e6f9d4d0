package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"amaranthsill/internal/site"
)

func init() { cases["departed"] = departedCase }

// Times of the case "departed".
const (
	// entryTimeout is three ping intervals, after which the store removes a silent server's
	// entry.
	entryTimeout = 3 * 1200 * time.Millisecond
	// cutFor is how long a replica is cut from the store. After deafAfter of it the other
	// replica begins to receive nothing, and crashAfter later the primary crashes.
	cutFor     = 12 * time.Second
	deafAfter  = 7 * time.Second
	crashAfter = time.Second
)

// departedCase cuts one of two replicas from the store alone, so that its entry is removed
// while it goes on receiving commits. Later the other replica receives nothing for a while, and
// the primary crashes meanwhile. Each commit is acknowledged once a replica has received it.
// With CUT=0 the replica is not cut from the store.
func departedCase(folder string, trouble bool) error {
	const service = "ledger"
	cut := atomic.Bool{}
	zones := []string{"kigali-a", "mombasa-a", "dar-a"}
	away := service + "-2"
	s, err := site.Open(site.Options{
		Groups: []string{service}, Zones: zones, ConnectionLimit: 43, Slots: 3, SyncReplicas: 1,
		Lag: 8 * time.Millisecond, StatementDelay: 6 * time.Millisecond,
		PromotionDelay: 300 * time.Millisecond, DemotionDelay: time.Second, EntryTimeout: entryTimeout,
		Reaches: func(from, to string) bool {
			return !cut.Load() || from != away && to != away || from != site.StoreNode && to != site.StoreNode
		},
	})
	if err != nil {
		return err
	}
	d := &deployment{store: s.Store, address: s.Address}
	vms := []*vm{}
	for i, z := range zones {
		v, err := d.startVM(fmt.Sprintf("front-%d", i), z, folder)
		if err != nil {
			return err
		}
		vms = append(vms, v)
	}
	for _, v := range vms {
		if !v.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	record.printf("VMs are ready")
	acknowledged := make(chan string, 1000)
	stop, stopped := atomic.Bool{}, make(chan struct{})
	go func() {
		defer close(stopped)
		writeUntil(&stop, vms[0], service+"-current", acknowledged)
	}()
	time.Sleep(3 * time.Second)
	servers := s.Servers(service)
	primary, deaf := servers[0], servers[1]
	if trouble && os.Getenv("CUT") != "0" {
		cut.Store(true)
		record.printf("%s is cut from the store; it reaches the other servers and the VMs", away)
	}
	if trouble {
		time.Sleep(deafAfter)
		record.printf("entry of %s is in the store: %t", away, s.Store.Get("servers/"+away) != nil)
		deaf.SetReplicationPaused(true)
		record.printf("%s receives nothing", deaf.ID)
		time.Sleep(crashAfter)
		primary.Crash()
		record.printf("%s crashes", primary.ID)
		time.Sleep(cutFor - deafAfter - crashAfter)
		cut.Store(false)
		deaf.SetReplicationPaused(false)
		record.printf("%s reaches the store again; %s receives again", away, deaf.ID)
	}
	time.Sleep(3 * time.Second)
	stop.Store(true)
	<-stopped
	close(acknowledged)
	return checkPromoted(s, service, acknowledged)
}

// writeUntil sends writes on one session after another, and passes on the IDs of those that
// were acknowledged.
func writeUntil(stop *atomic.Bool, v *vm, database string, acknowledged chan<- string) {
	var c *client
	for n := 0; !stop.Load(); n++ {
		if c == nil {
			var err error
			if c, err = connect("client", v.front, database); err != nil {
				record.printf("no session: %v", err)
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		id := nextID()
		lines, err := c.query(id, fmt.Sprintf("WRITE item%d data%d", n%10, n), 4*time.Second)
		record.printf("request %s: WRITE -> %q %v", id, lines, err)
		if err != nil {
			_ = c.conn.Close()
			c = nil
			continue
		}
		if strings.HasPrefix(lines[0], "COMPLETE ") {
			acknowledged <- id
		}
		time.Sleep(100 * time.Millisecond)
	}
}
