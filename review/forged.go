package main

import (
	"fmt"
	"sync"
	"time"
)

// playForged has one client read an item whose data has line feeds, while others read items of their
// own. The data was written by another caller of the service.
func playForged(path string) int {
	w := newWorld(path, 0)
	w.vms = startVMs(zones, 2, w.store.address, w.cloud.address)
	defer func() { stopVMs(w.vms) }()
	if !awaitReady(w.vms, 20*time.Second) {
		w.record.note("VMs did not get ready")
		return exitCannotRun
	}
	lock, mixed, served, forged := sync.Mutex{}, 0, 0, 0
	check := func(id, item string, n result) {
		lock.Lock()
		defer lock.Unlock()
		if n.code != "" {
			return
		}
		served++
		proven := false
		for _, s := range w.service.servers {
			proven = proven || n.mac == s.mac(id, "READ "+item)
		}
		if !proven || len(n.rows) != 1 || n.rows[0] != row(item) {
			mixed++
			w.record.note("MIXED: read %s of item %s succeeded with MAC %q and rows %q", id, item, n.mac, n.rows)
		}
	}
	read := func(client, count int, item func(i int) string, done func(id, item string, n result)) {
		var s *session
		for i := range count {
			if s == nil {
				var err error
				if s, err = openSession(w.record, w.vms[client%len(w.vms)].callers, "clerk-review"); err != nil {
					s = nil
					time.Sleep(100 * time.Millisecond)
					continue
				}
			}
			id, name := newID(), item(i)
			n, err := s.query(id, "READ "+name, statementTime)
			if err != nil {
				s.close()
				s = nil
				continue
			}
			done(id, name, n)
			time.Sleep(10 * time.Millisecond)
		}
	}
	wait := sync.WaitGroup{}
	for c := range 12 {
		wait.Go(func() {
			read(c, 200, func(i int) string { return fmt.Sprintf("own%d-%d", c, i) }, check)
		})
	}
	wait.Go(func() {
		read(0, 20, func(i int) string {
			time.Sleep(100 * time.Millisecond)
			if trouble {
				return forgedItem
			}
			return fmt.Sprintf("other%d", i)
		}, func(_, _ string, n result) {
			if n.code == "" {
				forged++
			}
		})
	})
	wait.Wait()
	w.record.note("%d reads of own items succeeded, %d of them with another answer; %d reads of the other client succeeded", served, mixed, forged)
	if mixed > 0 {
		return exitBroken
	}
	if served == 0 {
		return exitCannotRun
	}
	w.record.note("MIXED held")
	return exitHeld
}
