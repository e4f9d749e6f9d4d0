package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"amaranthsill/internal/site"
)

// VM is the process of one entry VM, with a proxy of its own to the store.
type VM struct {
	// Name is the VM's name in its settings.
	Name string
	// CallersAddress is the address on which the VM accepts callers.
	CallersAddress string
	// Store is the proxy between the VM and the store.
	Store *Proxy
	// peers and relay are the proxies between the other VMs and this one, and duty that
	// between this VM and the promotion service; nil unless cuts concern them.
	peers, relay, duty *Proxy

	zone         string
	program      string
	settingsFile string
	// settingsFormat is the text of the settings file with a verb for the field "first".
	settingsFormat string
	readyAddress   string
	logFile        *os.File

	lock    sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopping reports whether SIGTERM or SIGKILL was sent to the process.
	stopping bool
	paused   bool
	// unexpectedExit is the error of a process that exited without such a signal.
	unexpectedExit error
}

// stopGrace is the setting "grace" of each VM: how long it may take to stop.
const stopGrace = 3 * time.Second

// newVM starts the VM's proxy to the store, chooses its addresses and creates its log
// file in folder. It does not start the process.
// If there is a network, it also starts the proxies that cuts concern, to nodes that
// pathTo describes.
func newVM(name, zone, program, folder, storeAddress string, n *network, pathTo func(node string) func(net.Conn) *path) (*VM, error) {
	v := &VM{Name: name, zone: zone, program: program, settingsFile: filepath.Join(folder, name+".json")}
	var toStore func(net.Conn) *path
	if n != nil {
		toStore = func(net.Conn) *path { return &path{network: n, from: name, to: site.StoreNode} }
	}
	var err error
	if v.Store, err = newProxy(storeAddress, toStore); err != nil {
		return nil, err
	}
	dutyAddress := storeAddress
	if n != nil {
		if v.duty, err = newProxy(storeAddress, toStore); err != nil {
			return nil, err
		}
		dutyAddress = v.duty.Address()
	}
	addresses := []string{}
	for range 5 {
		addresses = append(addresses, site.FreeAddress())
	}
	if n != nil {
		if v.peers, err = newProxy(addresses[2], pathTo(name)); err != nil {
			return nil, err
		}
		if v.relay, err = newProxy(addresses[4], pathTo(name)); err != nil {
			return nil, err
		}
	}
	v.CallersAddress, v.readyAddress = addresses[0], addresses[1]
	text := fmt.Sprintf(`{"vm": %q, "zone": %q, "callers": %q, "ready": %q, "peers": %q, "metrics": %q, "relay": %q,
		"store": %q, "duty": %q, "memory": 512, "grace": %q, "first": %%t}`,
		name, zone, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], v.Store.Address(), dutyAddress, stopGrace)
	v.settingsFormat = text
	v.logFile, err = os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return v, nil
}

// Start writes the settings file and starts the process, unless it is running. first is
// the setting of that name: true if the fleet starts for the first time.
func (v *VM) Start(first bool) error {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.command != nil {
		return nil
	}
	if err := os.WriteFile(v.settingsFile, fmt.Appendf(nil, v.settingsFormat, first), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	c := exec.Command(v.program, "edge")
	c.Env = append(os.Environ(), "AMARANTHSILL_NODE_FILE="+v.settingsFile)
	c.Stdout, c.Stderr = v.logFile, v.logFile
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.Name, err)
	}
	v.command, v.exited, v.stopping, v.paused = c, make(chan struct{}), false, false
	go v.awaitExit(c, v.exited)
	return nil
}

func (v *VM) awaitExit(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	v.lock.Lock()
	defer v.lock.Unlock()
	if !v.stopping {
		v.unexpectedExit = fmt.Errorf("process of %s exited unexpectedly: %w", v.Name, err)
	}
	v.command = nil
	close(exited)
}

// Failure returns the error of the last exit that was not caused by Stop or Kill; nil if
// there was none.
func (v *VM) Failure() error {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.unexpectedExit
}

// signal sends a signal to the process, if it is running. The channel returned is closed
// once the process has exited.
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
	// Signal fails if the process has just exited; awaitExit handles that.
	_ = v.command.Process.Signal(s)
	return v.exited
}

// Pause suspends the process with SIGSTOP.
func (v *VM) Pause() { v.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (v *VM) Resume() { v.signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL and waits until it has exited.
func (v *VM) Kill() {
	<-v.signal(syscall.SIGKILL)
}

// Stop sends SIGTERM, as operators do, and kills the process if it has not exited one
// second after its grace period. It reports whether SIGTERM was enough.
func (v *VM) Stop() bool {
	exited := v.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(stopGrace + time.Second):
		v.Kill()
		return false
	}
}

// IsReady reports whether the VM's readiness endpoint answers with status 200 within
// one second.
func (v *VM) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + v.readyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// close kills the process and closes its proxy and its log file.
func (v *VM) close() {
	v.Resume()
	v.Kill()
	for _, p := range []*Proxy{v.Store, v.peers, v.relay, v.duty} {
		if p != nil {
			p.Close()
		}
	}
	_ = v.logFile.Close()
}
