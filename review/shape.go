package main

import (
	"fmt"
	"time"
)

// playShape has a client prepare statements whose shape has blanks: the shape is the last field of
// its message, and so extends to the end of the line. Other clients prepare and execute statements
// of a shape that is one word.
func playShape(path string) int {
	w := newWorld(path, 0)
	w.vms = startVMs(zones, 2, w.store.address, w.cloud.address)
	defer func() { stopVMs(w.vms) }()
	if !awaitReady(w.vms, 20*time.Second) {
		w.record.note("VMs did not get ready")
		return exitCannotRun
	}
	type prepared struct {
		id    string
		shape string
	}
	executions, served := []prepared{}, 0
	for i, v := range w.vms {
		shape := fmt.Sprintf("q2c%d", i)
		other := shape + "x"
		if trouble {
			other = shape + " WRITE zz"
		}
		open := func(shape string) *session {
			s, err := openSession(w.record, v.callers, "claim-filing")
			if err != nil {
				fatal("session: %v", err)
			}
			if n, err := s.query(newID(), "PREPARE s1 WRITE "+shape, statementTime); err != nil || n.code != "" {
				fatal("PREPARE was not acknowledged: %v %s", err, n.code)
			}
			return s
		}
		one, two := open(shape), open(other)
		execute := func(s *session, shape string) {
			id := newID()
			if n, err := s.query(id, "EXECUTE s1 1a4 xkqpwnzd", statementTime); err == nil && n.code == "" {
				served++
			}
			executions = append(executions, prepared{id, shape})
		}
		for range 4 {
			execute(one, shape)
			execute(two, other)
		}
		one.close()
		two.close()
	}
	w.record.note("%d of %d executions were acknowledged", served, len(executions))
	broken := 0
	w.record.lock.Lock()
	plans := w.record.plans
	w.record.lock.Unlock()
	for _, e := range executions {
		if p, ran := plans[e.id]; ran && p.shape != e.shape {
			broken++
			w.record.note("PINNED: request %s ran a statement of shape %q, its client had prepared %q", e.id, p.shape, e.shape)
		}
	}
	if broken > 0 {
		return exitBroken
	}
	if served == 0 {
		return exitCannotRun
	}
	w.record.note("PINNED held")
	return exitHeld
}
