package main

import (
	"fmt"
	"time"
)

func init() { cases["gone"] = goneCase }

// Times of the case "gone".
const (
	// drainTime is drain_ms of the small deployments.
	drainTime = 7 * time.Second
	// serversCutFor is how long the servers are cut from the store, which removes their entries
	// after entryTimeout.
	serversCutFor = 12 * time.Second
)

// goneCase cuts all servers of a service from the store alone. Their entries are removed, so
// that they are gone, and no request may reach one of them drainTime later. They and the VMs
// reach one another, and the VMs reach the store.
func goneCase(folder string, trouble bool) error {
	d, err := openDeployment()
	if err != nil {
		return err
	}
	zones := []string{"khomas-a", "erongo-a", "kavango-a"}
	servers, err := d.openService("summaries", zones, 5, func(string) time.Duration { return 10 * time.Millisecond })
	if err != nil {
		return err
	}
	d.configure(34, 3000, route{"approvals", "primary", "summaries", 1000, 800, 0}, route{"radio", "bounded_staleness", "summaries", 3000, 1200, 1500})
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
	time.Sleep(2 * time.Second)
	cutAt := time.Now()
	if trouble {
		for _, v := range servers {
			v.cut.Store(true)
		}
		record.printf("all servers are cut from the store; they reach the VMs")
		time.Sleep(entryTimeout)
		for _, v := range servers {
			d.store.Delete("servers/" + v.id)
		}
		record.printf("the store removes the entries of all servers")
	}
	gone := time.Now()
	late := []string{}
	for time.Since(cutAt) < serversCutFor {
		for _, database := range []string{"approvals", "radio"} {
			c, err := connect("client", vms[0].front, database)
			if err != nil {
				record.printf("no session: %v", err)
				continue
			}
			for _, text := range []string{"WRITE item data", "READ item"} {
				id := nextID()
				sent := time.Since(gone)
				lines, err := c.query(id, text, 4*time.Second)
				record.printf("%s %s: %s, sent %.3f s after the entries were removed -> %q %v", database, id, text, sent.Seconds(), lines, err)
				for _, v := range servers {
					if at, ok := v.endedAt(id); ok && trouble && sent > drainTime {
						late = append(late, id)
						record.printf("%s was run by %s, which was done %.3f s after its entry was removed", id, v.id, at.Sub(gone).Seconds())
					}
				}
				if err != nil {
					break
				}
			}
			_ = c.conn.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
	if len(late) > 0 {
		return fmt.Errorf("DRAIN: %d requests reached servers that were gone for longer than %v: %w", len(late), drainTime, errBroken)
	}
	return nil
}
