package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	memorySessions = 292
	memoryLimit    = 284
)

func memoryCase(folder string, trouble bool) error {
	d, err := openDeployment()
	if err != nil {
		return err
	}
	zones := []string{"kigali-a", "mombasa-a", "dar-a"}
	if _, err := d.openService("ledger", zones, 3, func(text string) time.Duration { return 20 * time.Millisecond }); err != nil {
		return err
	}
	d.configure(43, 3000, route{"claims", "primary", "ledger", 800, 600, 0}, route{"status", "bounded_staleness", "ledger", 2000, 1000, 1500})
	vms := []*vm{}
	for i, z := range zones[:1] {
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
	size := 2400
	if trouble {
		size = 1<<20 - 100
	}
	clients := []*client{}
	for i := range memorySessions {
		c, err := connect(fmt.Sprintf("client-%d", i), vms[0].front, "claims")
		if err != nil {
			return err
		}
		clients = append(clients, c)
	}
	now, peak := vms[0].memory()
	record.printf("memory %d MB, peak %d MB", now, peak)
	data := strings.Repeat("x", size)
	wait := sync.WaitGroup{}
	for _, c := range clients {
		wait.Go(func() {
			for range 3 {
				lines, err := c.query(nextID(), "WRITE item "+data, 10*time.Second)
				record.printf("%s: %q %v", c.name, lines, err)
				if err != nil {
					return
				}
			}
		})
	}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				now, peak := vms[0].memory()
				record.printf("memory %d MB, peak %d MB", now, peak)
			}
		}
	}()
	wait.Wait()
	close(stop)
	_, peak = vms[0].memory()
	if peak > memoryLimit {
		return fmt.Errorf("peak of %d MB: %w", peak, errBroken)
	}
	return nil
}
