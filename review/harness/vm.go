package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"amaranthsill/internal/site"
)

// vm is a process of the system.
type vm struct {
	name, zone, folder string
	front, ready       string
	command            *exec.Cmd
	exited             chan struct{}
}

// processes are the VMs that the case has started.
type processes struct {
	lock sync.Mutex
	vms  []*vm
}

var started processes

func (p *processes) add(v *vm) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.vms = append(p.vms, v)
}

// end ends all VMs.
func (p *processes) end() {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, v := range p.vms {
		v.end()
	}
}

// startVM starts a VM with the command of the deploy file.
func (d *deployment) startVM(name, zone, folder string) (*vm, error) {
	a := []string{}
	for range 5 {
		a = append(a, site.FreeAddress())
	}
	v := &vm{name: name, zone: zone, folder: folder, front: a[0], ready: a[1], exited: make(chan struct{})}
	text := fmt.Sprintf(`{"vm": %q, "zone": %q, "callers": %q, "ready": %q, "peers": %q, "seeds": [], "first": true,
	"metrics": %q, "relay": %q, "store": %q, "duty": %q, "memory": 284, "cores": 1, "share": 0.4, "grace": "6s"}`,
		name, zone, a[0], a[1], a[2], a[3], a[4], d.address, d.address)
	file := filepath.Join(folder, name+".json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	v.command = exec.Command("target/amaranthsilld", "edge")
	v.command.Env = append(os.Environ(), "AMARANTHSILL_NODE_FILE="+file)
	v.command.Stdout, v.command.Stderr = log, log
	if err := v.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	started.add(v)
	go func() {
		_ = v.command.Wait()
		close(v.exited)
	}()
	return v, nil
}

func (v *vm) signal(s syscall.Signal) { _ = v.command.Process.Signal(s) }

func (v *vm) end() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	<-v.exited
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

func (v *vm) awaitReady(limit time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return true
		}
	}
	return false
}

// memory returns the present and the highest resident memory of the process in MB.
func (v *vm) memory() (now, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmRSS:":
			now = kb / 1000
		case "VmHWM:":
			peak = kb / 1000
		}
	}
	return now, peak
}
