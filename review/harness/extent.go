package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"amaranthsill/internal/site"
)

func init() { cases["extent"] = extentCase }

// Times of the case "extent".
const (
	// runBefore is how long the VMs have run when one replica begins to receive nothing.
	runBefore = 22 * time.Second
	// downAfter is how long that has lasted when the primary and the other replica crash, and
	// downFor how long these are down. They come back with their logs.
	downAfter = 500 * time.Millisecond
	downFor   = 6 * time.Second
)

// extentCase has one replica receive nothing for a while, so that commits are acknowledged
// because the other one has received them. Then that one and the primary crash. The service
// has to wait for one of them, since no other server has the commits. The client commits with
// transactions, or with single writes if KIND is "single".
func extentCase(folder string, trouble bool) error {
	const service = "ledger"
	zones := []string{"kigali-a", "mombasa-a", "dar-a"}
	s, err := site.Open(site.Options{
		Groups: []string{service}, Zones: zones, ConnectionLimit: 43, Slots: 3, SyncReplicas: 1,
		Lag: 8 * time.Millisecond, StatementDelay: 6 * time.Millisecond,
		PromotionDelay: 300 * time.Millisecond, DemotionDelay: time.Second, EntryTimeout: entryTimeout,
		Reaches: func(string, string) bool { return true },
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
		if os.Getenv("KIND") == "single" {
			writeUntil(&stop, vms[0], service+"-current", acknowledged)
			return
		}
		commitUntil(&stop, vms[0], service+"-current", acknowledged)
	}()
	time.Sleep(runBefore)
	servers := s.Servers(service)
	primary, deaf, other := servers[0], servers[1], servers[2]
	if trouble {
		deaf.SetReplicationPaused(true)
		record.printf("%s receives nothing", deaf.ID)
		time.Sleep(downAfter)
		primary.Crash()
		other.Crash()
		record.printf("%s and %s crash", primary.ID, other.ID)
		time.Sleep(downFor)
		primary.Restart()
		other.Restart()
		deaf.SetReplicationPaused(false)
		record.printf("%s and %s are back; %s receives again", primary.ID, other.ID, deaf.ID)
	}
	time.Sleep(3 * time.Second)
	stop.Store(true)
	<-stopped
	close(acknowledged)
	return checkPromoted(s, service, acknowledged)
}

// checkPromoted checks that the server that was promoted last has each acknowledged commit.
func checkPromoted(s *site.Site, service string, acknowledged <-chan string) error {
	for _, p := range s.Promotions(service) {
		record.printf("%s was promoted to term %d at %.3f s", p.Server, p.Term, p.At.Sub(record.begun).Seconds())
	}
	leader := s.Leader(service)
	lost := []string{}
	for id := range acknowledged {
		if !leader.HasEntry(id) {
			lost = append(lost, id)
		}
	}
	record.printf("%s leads; acknowledged commits that its log lacks: %v", leader.ID, lost)
	if len(lost) > 0 {
		return fmt.Errorf("LOST: %d acknowledged commits are not in the log of %s, which was promoted: %w", len(lost), leader.ID, errBroken)
	}
	return nil
}

// commitUntil runs transactions with one write each, and passes on the IDs of the writes whose
// commit was acknowledged.
func commitUntil(stop *atomic.Bool, v *vm, database string, acknowledged chan<- string) {
	var c *client
	for n := 0; !stop.Load(); n++ {
		time.Sleep(100 * time.Millisecond)
		if c == nil {
			var err error
			if c, err = connect("client", v.front, database); err != nil {
				record.printf("no session: %v", err)
				continue
			}
		}
		write := nextID()
		for _, q := range [][2]string{{nextID(), "BEGIN"}, {write, fmt.Sprintf("WRITE item%d data%d", n%10, n)}, {nextID(), "COMMIT"}} {
			lines, err := c.query(q[0], q[1], 4*time.Second)
			record.printf("request %s: %s -> %q %v", q[0], q[1], lines, err)
			if err != nil || strings.HasPrefix(lines[0], "ERROR ") {
				_ = c.conn.Close()
				c = nil
				break
			}
			if q[1] == "COMMIT" {
				acknowledged <- write
			}
		}
	}
}
