package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

// Times of the case "stop", after SIGTERM.
const (
	stopGrace = 6 * time.Second
	// lastSixth is when the last sixth of the grace period begins: a server that is still at
	// work then excuses a cut request.
	lastSixth = stopGrace * 5 / 6
	// sentAfter is when the statement is sent, in a transaction that is open since before, and
	// slowWork how long the server works on it. The route's timeout is 3 s.
	sentAfter = 2850 * time.Millisecond
	slowWork  = 2040 * time.Millisecond
)

// stopCase stops a VM with SIGTERM while servers work on statements that the VM has passed on,
// and checks that each is answered whose server is done before the last sixth of the grace
// period.
func stopCase(folder string, trouble bool) error {
	d, err := openDeployment()
	if err != nil {
		return err
	}
	zones := []string{"khomas-a", "erongo-a", "kavango-a"}
	servers, err := d.openService("summaries", zones, 5, func(text string) time.Duration {
		if strings.Contains(text, " slow") {
			return slowWork
		}
		return 20 * time.Millisecond
	})
	if err != nil {
		return err
	}
	d.configure(34, 3000, route{"radio", "bounded_staleness", "summaries", 3000, 1200, 1500})
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
	time.Sleep(3 * time.Second)
	clients := []*client{}
	for i := range 3 {
		c, err := connect(fmt.Sprintf("client-%d", i), vms[0].front, "radio")
		if err != nil {
			return err
		}
		for _, text := range []string{"BEGIN READ", "READ item"} {
			lines, err := c.query(nextID(), text, 3*time.Second)
			record.printf("%s: %s -> %q %v", c.name, text, lines, err)
			if err != nil {
				return err
			}
		}
		clients = append(clients, c)
	}
	stopped := time.Now()
	if trouble {
		record.printf("SIGTERM to %s", vms[0].name)
		vms[0].signal(syscall.SIGTERM)
	}
	go func() {
		<-vms[0].exited
		record.printf("%s has exited, %.3f s after SIGTERM", vms[0].name, time.Since(stopped).Seconds())
	}()
	// The client's pause keeps the transaction in use.
	time.Sleep(sentAfter - time.Since(stopped))
	lock, wait, broken := sync.Mutex{}, sync.WaitGroup{}, []string{}
	for _, c := range clients {
		wait.Go(func() {
			id := nextID()
			sent := time.Since(stopped)
			lines, err := c.query(id, "READ slow", 10*time.Second)
			ended := time.Since(stopped)
			record.printf("%s: request %s sent at %.3f s after SIGTERM, ended at %.3f s: %q %v", c.name, id, sent.Seconds(), ended.Seconds(), lines, err)
			if err == nil {
				return
			}
			for begun := time.Now(); time.Since(begun) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
				for _, s := range servers {
					at, ok := s.endedAt(id)
					if !ok {
						continue
					}
					record.printf("request %s was run by %s, which was done at %.3f s after SIGTERM", id, s.id, at.Sub(stopped).Seconds())
					if sent < 3*time.Second && at.Sub(stopped) < lastSixth && ended-sent < 3*time.Second {
						lock.Lock()
						broken = append(broken, id)
						lock.Unlock()
					}
					return
				}
			}
			record.printf("request %s was run by no server", id)
		})
	}
	wait.Wait()
	if len(broken) > 0 {
		return fmt.Errorf("LOST: requests %v ended without an answer: %w", broken, errBroken)
	}
	return nil
}
