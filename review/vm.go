package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// vm is one process of the system.
type vm struct {
	name, zone     string
	callers, ready string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
}

// grace is grace_s of the sheet.
const grace = 6 * time.Second

var nextPort atomic.Int64

// freeAddress returns a loopback address on which nothing listens, below the ephemeral ports.
func freeAddress() string {
	nextPort.CompareAndSwap(0, int64(12000+os.Getpid()*37%15000))
	for {
		a := fmt.Sprintf("127.0.0.1:%d", 12000+nextPort.Add(1)%18000)
		l, err := net.Listen("tcp4", a)
		if err != nil {
			continue
		}
		_ = l.Close()
		return a
	}
}

// program is the daemon of the deploy file.
var program, folder string

// startVMs starts VMs by zone, each with the settings of the deploy file's template.
func startVMs(zones []string, perZone int, storeAddress, cloudAddress string) []*vm {
	list, seeds := []*vm{}, []string{}
	type ports struct{ callers, ready, peers, metrics, relay string }
	all := []ports{}
	for range len(zones) * perZone {
		p := ports{freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()}
		all = append(all, p)
		if len(seeds) < 3 {
			seeds = append(seeds, p.peers)
		}
	}
	for i, p := range all {
		zone := zones[i%len(zones)]
		v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, callers: p.callers, ready: p.ready}
		text, err := json.MarshalIndent(map[string]any{
			"vm": v.name, "zone": zone, "callers": p.callers, "ready": p.ready, "peers": p.peers, "seeds": seeds, "first": true,
			"metrics": p.metrics, "relay": p.relay, "store": storeAddress, "duty": cloudAddress, "memory": 284, "cores": 1,
			"share": 0.4, "grace": "6s",
		}, "", "  ")
		if err != nil {
			fatal("encode settings: %v", err)
		}
		v.settings = filepath.Join(folder, v.name+".json")
		if err := os.WriteFile(v.settings, text, 0o600); err != nil {
			fatal("write settings: %v", err)
		}
		v.start()
		list = append(list, v)
	}
	return list
}

func (v *vm) start() {
	f, err := os.OpenFile(filepath.Join(folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("open log: %v", err)
	}
	v.cmd = exec.Command(program, "edge")
	v.cmd.Env = append(os.Environ(), "AMARANTHSILL_NODE_FILE="+v.settings)
	v.cmd.Stdout, v.cmd.Stderr = f, f
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	v.log = f
	if err := v.cmd.Start(); err != nil {
		fatal("start %s: %v", v.name, err)
	}
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready; false if one is not in time.
func awaitReady(vms []*vm, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, v := range vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// stopVMs ends the processes.
func stopVMs(vms []*vm) {
	for _, v := range vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
		}
	}
}
