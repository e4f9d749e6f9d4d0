package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recoverTime is recover_s of the sheet, and downTime how long the processes stay away.
const (
	recoverTime = 12 * time.Second
	downTime    = 700 * time.Millisecond
)

// playRecover has the operator add a route of a service whose servers have not registered yet. All
// processes are killed right after that desired state is acknowledged, and start again.
func playRecover(path string) int {
	w := newWorld(path, 0)
	w.vms = startVMs(zones, 2, w.store.address, w.cloud.address)
	defer func() { stopVMs(w.vms) }()
	if !awaitReady(w.vms, 20*time.Second) {
		w.record.note("VMs did not get ready")
		return exitCannotRun
	}
	type window struct{ sent, served int }
	lock, phase, windows := sync.Mutex{}, "before", map[string]*window{"before": {}, "recovering": {}, "after": {}}
	stop := make(chan struct{})
	for c := range 12 {
		go func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				lock.Lock()
				n := windows[phase]
				n.sent++
				lock.Unlock()
				s, err := openSession(w.record, w.vms[(c+i)%len(w.vms)].callers, "clerk-review")
				if err != nil {
					continue
				}
				a, err := s.query(newID(), fmt.Sprintf("READ item%d", i), statementTime)
				s.close()
				if err == nil && a.code == "" {
					lock.Lock()
					n.served++
					lock.Unlock()
				}
			}
		}()
	}
	enter := func(name string) {
		lock.Lock()
		phase = name
		lock.Unlock()
	}
	time.Sleep(5 * time.Second)
	if os.Getenv("ROUTE") != "0" {
		w.extra = "dele70b"
	}
	w.configure()
	w.record.note("a version with a route of another service is acknowledged")
	enter("recovering")
	if trouble {
		for _, v := range w.vms {
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
		}
		w.record.note("all processes are killed")
		time.Sleep(downTime)
		for _, v := range w.vms {
			v.restart()
		}
		w.record.note("all processes are back")
	}
	time.Sleep(recoverTime)
	enter("after")
	time.Sleep(20 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	lock.Lock()
	defer lock.Unlock()
	before, after := *windows["before"], *windows["after"]
	ready := 0
	for _, v := range w.vms {
		if v.isReady() {
			ready++
		}
	}
	w.record.note("served %d of %d before the fault, %d of %d later than %s after it; %d of %d VMs are ready", before.served, before.sent, after.served, after.sent, recoverTime, ready, len(w.vms))
	if 4*before.served < before.sent {
		return exitCannotRun
	}
	if 4*after.served < after.sent {
		w.record.note("RECOVER: less than a quarter is served")
		return exitBroken
	}
	w.record.note("RECOVER held")
	return exitHeld
}

// restart starts a VM again, no longer as part of the system's first start.
func (v *vm) restart() {
	b, err := os.ReadFile(v.settings)
	if err != nil {
		fatal("read settings: %v", err)
	}
	if err := os.WriteFile(v.settings, []byte(strings.Replace(string(b), `"first": true`, `"first": false`, 1)), 0o600); err != nil {
		fatal("write settings: %v", err)
	}
	v.start()
}
