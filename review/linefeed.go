package main

import (
	"fmt"
	"strings"
	"time"
)

// playLineFeed has clients write data that contains a line feed. A message ends with CR LF, so that
// each of them is one request.
func playLineFeed(path string) int {
	w := newWorld(path, 0)
	w.vms = startVMs(zones, 2, w.store.address, w.cloud.address)
	defer func() { stopVMs(w.vms) }()
	if !awaitReady(w.vms, 20*time.Second) {
		w.record.note("VMs did not get ready")
		return exitCannotRun
	}
	served := 0
	for i := range 24 {
		s, err := openSession(w.record, w.vms[i%len(w.vms)].callers, "claim-filing")
		if err != nil {
			w.record.note("session: %v", err)
			return exitCannotRun
		}
		separator := " "
		if trouble && i%4 == 3 {
			separator = "\n"
		}
		text := fmt.Sprintf("WRITE note%d first line%sQUERY 5c0e7a21d94b%04x WRITE balance%d 1000000", i, separator, i, i)
		if n, err := s.query(newID(), text, statementTime); err == nil && n.code == "" {
			served++
		}
		// A second answer on the session, which no client asked for, would arrive now.
		time.Sleep(150 * time.Millisecond)
		s.close()
	}
	w.record.note("%d of 24 writes were acknowledged", served)
	broken := 0
	w.record.lock.Lock()
	sent, runs := w.record.sent, w.record.runs
	w.record.lock.Unlock()
	for id, list := range runs {
		for _, n := range list {
			text, known := sent[id]
			switch {
			case !known:
				broken++
				w.record.note("UNASKED: %s ran request %s, %q, which no client sent", n.server, id, n.text)
			case !strings.HasPrefix(text, "EXECUTE") && text != n.text:
				broken++
				w.record.note("UNASKED: %s ran request %s as %q instead of %q", n.server, id, n.text, text)
			}
		}
	}
	if broken > 0 {
		return exitBroken
	}
	if served == 0 {
		w.record.note("nothing was served")
		return exitCannotRun
	}
	w.record.note("UNASKED held")
	return exitHeld
}
