package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"amaranthsill/internal/site"
)

// VM is one entry VM's process with its own way to the store.
type VM struct {
	Name    string
	Callers string
	// Store is the proxy between the VM and the store.
	Store *Proxy

	program string
	file    string
	// settings lack whether the whole system starts for the first time.
	settings string
	ready    string
	log      *os.File

	lock    sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// stopping reports that the process was asked to end.
	stopping bool
	paused   bool
	failed   error
}

// grace is how long a VM may take to stop, in its settings.
const grace = 3 * time.Second

// newVM prepares a VM.
func newVM(name, zone, program, folder, store string) (*VM, error) {
	p, err := NewProxy(store)
	if err != nil {
		return nil, err
	}
	v := &VM{Name: name, Store: p, program: program, file: filepath.Join(folder, name+".json")}
	addresses := []string{}
	for range 5 {
		addresses = append(addresses, site.FreeAddress())
	}
	v.Callers, v.ready = addresses[0], addresses[1]
	text := fmt.Sprintf(`{"vm": %q, "zone": %q, "callers": %q, "ready": %q, "peers": %q, "metrics": %q, "relay": %q,
		"store": %q, "duty": %q, "memory": 512, "grace": %q, "first": %%t}`,
		name, zone, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], p.Address(), store, grace)
	v.settings = text
	v.log, err = os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return v, nil
}

// Start starts the process, if it does not run; first is true when the whole
// system starts for the first time.
func (v *VM) Start(first bool) error {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.command != nil {
		return nil
	}
	if err := os.WriteFile(v.file, fmt.Appendf(nil, v.settings, first), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	c := exec.Command(v.program, "edge")
	c.Env = append(os.Environ(), "AMARANTHSILL_NODE_FILE="+v.file)
	c.Stdout, c.Stderr = v.log, v.log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.Name, err)
	}
	v.command, v.ended, v.stopping, v.paused = c, make(chan struct{}), false, false
	go v.reap(c, v.ended)
	return nil
}

func (v *VM) reap(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	v.lock.Lock()
	defer v.lock.Unlock()
	if !v.stopping {
		v.failed = fmt.Errorf("%s ended by itself: %w", v.Name, err)
	}
	v.command = nil
	close(ended)
}

// Failure returns how the process ended without being asked to, if it did.
func (v *VM) Failure() error {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.failed
}

// signal sends a signal to the process, if it runs.
func (v *VM) signal(s syscall.Signal) chan struct{} {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.command == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	v.stopping = v.stopping || s == syscall.SIGTERM || s == syscall.SIGKILL
	v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT
	// A process that is gone already was reaped.
	_ = v.command.Process.Signal(s)
	return v.ended
}

// Pause stops the process where it is, and Resume lets it go on.
func (v *VM) Pause() { v.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (v *VM) Resume() { v.signal(syscall.SIGCONT) }

// Kill ends the process at once.
func (v *VM) Kill() {
	<-v.signal(syscall.SIGKILL)
}

// Stop ends the process as an operator does, and by force after its grace.
func (v *VM) Stop() bool {
	ended := v.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(grace + time.Second):
		v.Kill()
		return false
	}
}

// IsReady reports whether the VM wants callers.
func (v *VM) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// close ends the process and what belongs to it.
func (v *VM) close() {
	v.Resume()
	v.Kill()
	v.Store.Close()
	_ = v.log.Close()
}
