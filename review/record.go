package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, written to a file and kept for the check.
type record struct {
	lock  sync.Mutex
	file  *os.File
	begun time.Time
	// sent maps a request to its text, and runs lists what each request ran as.
	sent  map[string]string
	runs  map[string][]run
	acked []ack
	// plans maps the request that executed a prepared statement to that statement.
	plans map[string]plan
}

// run is one run of a request on a server.
type run struct {
	server, text string
	at           time.Duration
}

// ack is a commit that its client saw acknowledged.
type ack struct {
	id string
	at time.Duration
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal("create record: %v", err)
	}
	return &record{file: f, begun: time.Now(), sent: map[string]string{}, runs: map[string][]run{}, plans: map[string]plan{}}
}

func (r *record) now() time.Duration { return time.Since(r.begun) }

func (r *record) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

// note writes a line on the course of the case, also to the standard output.
func (r *record) note(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.printf(format, args...)
	fmt.Printf("%9.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

func (r *record) send(id, text string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.sent[id] = text
	r.printf("sent %s %q", id, text)
}

func (r *record) answered(id, what string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.printf("answered %s %s", id, what)
}

func (r *record) ran(s *server, id, text string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runs[id] = append(r.runs[id], run{server: s.id, text: text, at: r.now()})
	r.printf("ran %s %q on %s", id, text, s.id)
}

// acknowledge records that a client saw a commit acknowledged.
func (r *record) acknowledge(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.acked = append(r.acked, ack{id: id, at: r.now()})
}

// acknowledged returns the commits that clients saw acknowledged so far.
func (r *record) acknowledged() []ack {
	r.lock.Lock()
	defer r.lock.Unlock()
	return append([]ack{}, r.acked...)
}

// executed records which prepared statement a request ran.
func (r *record) executed(id string, p plan) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.plans[id] = p
	r.printf("request %s runs %s of shape %q", id, p.access, p.shape)
}
