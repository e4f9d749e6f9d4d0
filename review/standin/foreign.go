package main

import (
	"time"
)

// playForeign starts the system while the store holds an entry of another writer, which lacks fields
// of a server's entry and so names no server to use.
func playForeign(path string) int {
	w := newWorld(path, 0)
	if trouble {
		w.store.write("servers/inventory-export", map[string]any{
			"service": w.service.name, "address": freeAddress(), "zone": zones[0], "slots": slotsPerServer,
			"state": "ready", "db_role": "primary",
		})
		w.record.note("another writer's entry, without version, cold_left_ms, seq and born, is in the store")
	}
	w.vms = startVMs(zones, 2, w.store.address, w.cloud.address)
	defer func() { stopVMs(w.vms) }()
	ready := awaitReady(w.vms[:1], 40*time.Second)
	w.record.note("VM ready: %v", ready)
	served := 0
	for i := range 60 {
		s, err := openSession(w.record, w.vms[i%len(w.vms)].callers, "claim-filing")
		if err != nil {
			w.record.note("session: %v", err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		if n, err := s.query(newID(), "WRITE item1 value1", statementTime); err == nil && n.code == "" {
			served++
		}
		s.close()
	}
	w.record.note("%d of 60 requests were served", served)
	if served == 0 {
		w.record.note("Fault: no request is served")
		return exitBroken
	}
	return exitHeld
}
