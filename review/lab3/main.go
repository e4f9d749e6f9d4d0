// Lab3 plays the cases of the review: it starts VMs of the project as processes of their own,
// between stand-ins for the platform, the servers and the clients in this process.
package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must[T any](v T, err error) T {
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab3:", err)
		quit(2)
	}
	return v
}

var cleanup []func()

func quit(code int) {
	for _, f := range cleanup {
		f()
	}
	os.Exit(code)
}

func readLine(r *bufio.Reader) (string, bool) {
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", false
		}
		line += part
	}
	return strings.TrimSuffix(line, "\r\n"), true
}

// lab is one run of a case.
type lab struct {
	store   *store
	service *service
	vms     []*vm
	trouble bool
	began   time.Time
	folder  string

	mu     sync.Mutex
	record *os.File
	acked  []string
	broken []string
	ends   map[string]string
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.began).Seconds()}, args...)...)
}

// breaks notes a broken rule.
func (l *lab) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.note("BROKEN: %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

// promoted checks that a server that was promoted has every commit that was acknowledged.
func (l *lab) promoted(s *server, log []string) {
	has := map[string]bool{}
	for _, id := range log {
		has[id] = true
	}
	l.mu.Lock()
	lost := []string{}
	for _, id := range l.acked {
		if !has[id] {
			lost = append(lost, id)
		}
	}
	acked := len(l.acked)
	l.mu.Unlock()
	l.note("promotion of %s takes effect: term %d, %d commits in its log, %d acknowledged", s.id, s.term, len(log), acked)
	if len(lost) > 0 && l.service.sync > 0 {
		l.breaks("LOST: %d acknowledged commits are not in the log of %s, which is promoted: %s", len(lost), s.id, strings.Join(lost, " "))
	}
}

// vm is one process of the project.
type vm struct {
	lab                 *lab
	name, zone          string
	front, ready, relay string
	settings            string
	cmd                 *exec.Cmd
	store               string
	stopped             chan struct{}
}

// free returns an address whose port lies below those of outgoing connections, so that none of
// these takes it before the process that it is for.
func free() string {
	for {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000)))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		_ = l.Close()
		if !given[address] {
			given[address] = true
			return address
		}
	}
}

// given holds the addresses that free has returned.
var given = map[string]bool{}

func (l *lab) addVM(name, zone string, seeds []string, peers string) *vm {
	v := &vm{lab: l, name: name, zone: zone, front: free(), ready: free(), store: l.store.listen(name)}
	v.settings = filepath.Join(l.folder, name+".json")
	v.relay = free()
	text := fmt.Sprintf(`{"vm": %q, "zone": %q, "callers": %q, "ready": %q, "peers": %q, "seeds": [%s], "first": true,
 "metrics": %q, "relay": %q, "store": %q, "duty": %q, "memory": 284, "cores": 1, "share": 0.4, "grace": "6s"}`,
		name, zone, v.front, v.ready, peers, `"`+strings.Join(seeds, `", "`)+`"`, free(), v.relay, v.store, v.store)
	must(0, os.WriteFile(v.settings, []byte(text), 0o600))
	l.vms = append(l.vms, v)
	return v
}

func (v *vm) start() {
	v.cmd = exec.Command(os.Getenv("VM"), "edge")
	v.cmd.Env = append(os.Environ(), "AMARANTHSILL_NODE_FILE="+v.settings)
	log := must(os.OpenFile(filepath.Join(v.lab.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600))
	v.cmd.Stdout, v.cmd.Stderr = log, log
	must(0, v.cmd.Start())
	v.stopped = make(chan struct{})
	cmd, stopped := v.cmd, v.stopped
	go func() { _ = cmd.Wait(); close(stopped) }()
	v.lab.note("%s starts as process %d", v.name, cmd.Process.Pid)
}

func (v *vm) signal(s syscall.Signal) {
	v.lab.note("%s gets %s", v.name, s)
	_ = v.cmd.Process.Signal(s)
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == 200
}

// newLab starts the stand-ins and the VMs, and waits until the VMs are ready.
func newLab(sync, vms int, prepare func(*lab)) *lab {
	l := &lab{store: newStore(), trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), ends: map[string]string{}}
	l.folder = must(os.MkdirTemp("", "lab3-"))
	l.record = must(os.Create(os.Getenv("RECORD")))
	keep := os.Getenv("KEEP") != ""
	cleanup = append(cleanup, func() {
		for _, v := range l.vms {
			if v.cmd != nil && v.cmd.Process != nil {
				_ = v.cmd.Process.Kill()
				<-v.stopped
			}
		}
		if !keep {
			_ = os.RemoveAll(l.folder)
		} else {
			fmt.Println("logs in", l.folder)
		}
	})
	l.service = &service{name: "ledger7", lab: l, maxConns: 43, sync: sync}
	l.store.promote = func(vm, _, id, token string) int {
		code := l.service.promote(id)
		l.note("promotion of %s called for by %s with token %s: %d", id, vm, token, code)
		return code
	}
	zones := []string{"kigali-a", "mombasa-a", "dar-a"}
	for i, z := range zones {
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		l.service.add(fmt.Sprintf("i-%d", i+1), z, role)
	}
	l.configure(1)
	if prepare != nil {
		prepare(l)
	}
	go l.service.run()
	peers := []string{}
	for range vms {
		peers = append(peers, free())
	}
	for i := range vms {
		v := l.addVM(fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zones[i%3], peers[:min(3, vms)], peers[i])
		v.start()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range l.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				fmt.Fprintln(os.Stderr, "lab3: a VM is not ready")
				quit(2)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	l.note("all VMs are ready")
	return l
}

// configure writes a desired state.
func (l *lab) configure(version int) {
	route := func(name, kind string, stale int) map[string]any {
		return map[string]any{
			"name": name, "host": "db-" + name, "kind": kind, "service": l.service.name, "timeout_ms": 2000,
			"target_latency_ms": 1000, "priority": 1, "max_staleness_ms": stale,
		}
	}
	l.store.put("op/config", map[string]any{
		"version":  version,
		"routes":   []any{route("filing", "primary", 0), route("status", "bounded_staleness", 1500), route("review", "read_your_writes", 2500)},
		"services": []any{map[string]any{"name": l.service.name, "max_conns": l.service.maxConns, "sync_replicas": l.service.sync}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
	l.note("operator: desired state %d is acknowledged", version)
}

// client is one client session.
type client struct {
	lab  *lab
	conn net.Conn
	in   *bufio.Reader
}

func (l *lab) dial(v *vm, host string) (*client, bool) {
	n, err := net.DialTimeout("tcp4", v.front, 2*time.Second)
	if err != nil {
		return nil, false
	}
	c := &client{l, n, bufio.NewReader(n)}
	_ = n.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(n, "STARTUP %s u\r\n", host)
	line, ok := readLine(c.in)
	if !ok || !strings.HasPrefix(line, "READY") {
		n.Close()
		return nil, false
	}
	return c, true
}

// query sends one query and returns its rows and how it ended: COMPLETE MAC, or ERROR and
// the rest of the line, or "cut".
func (c *client) query(id, text string) (rows []string, end string) {
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	end = "cut"
	for {
		line, ok := readLine(c.in)
		if !ok {
			return rows, "cut"
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			rows = append(rows, rest)
		case "READY":
			return rows, end
		default:
			end = line
		}
	}
}

// writer writes one item after another over sessions to VMs in turn, until stop is closed.
func (l *lab) writer(name string, pause time.Duration, stop chan struct{}) {
	for n, at := 0, 0; ; at++ {
		v := l.vms[at%len(l.vms)]
		c, ok := l.dial(v, "db-filing")
		for ok {
			select {
			case <-stop:
				c.conn.Close()
				return
			default:
			}
			n++
			id := fmt.Sprintf("%s-%d", name, n)
			_, end := c.query(id, fmt.Sprintf("WRITE k%d %s", n%7, id))
			l.note("client %s at %s: WRITE %s ends with %s", name, v.name, id, end)
			if strings.HasPrefix(end, "COMPLETE") && end != "COMPLETE -" {
				l.mu.Lock()
				l.acked = append(l.acked, id)
				l.mu.Unlock()
			}
			time.Sleep(pause)
			if end == "cut" || strings.HasPrefix(end, "ERROR") {
				c.conn.Close()
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// at sleeps until a time since the VMs were ready.
func (l *lab) after(from time.Time, d time.Duration) { time.Sleep(time.Until(from.Add(d))) }

func (l *lab) finish() {
	l.mu.Lock()
	n := len(l.broken)
	l.mu.Unlock()
	if n > 0 {
		fmt.Println("broken:", l.broken[0])
		quit(1)
	}
	fmt.Println("held")
	quit(0)
}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: VM=PROGRAM RECORD=FILE lab3 CASE")
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(110 * time.Second):
			fmt.Fprintln(os.Stderr, "lab3: the case takes too long")
		}
		quit(2)
	}()
	cases[os.Args[1]]()
}
