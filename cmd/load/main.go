// Command load generates load on running VMs through an ordinary PostgreSQL
// driver. It injects faults by sending signals to the processes given by ID,
// measures latency and availability as callers see them, and checks that no
// acknowledged write is lost, no refused write runs, and sessions read their own
// writes. It exits with 1 if one of these checks fails.
//
//	load --vms 127.0.0.1:6431,127.0.0.1:6432 --group choir --for 10s \
//	     --faults 3s:KILL:4711,5s:STOP:4712,8s:CONT:4712
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"
)

func main() {
	l := &loadRun{}
	vms := flag.String("vms", "127.0.0.1:6431,127.0.0.1:6432,127.0.0.1:6433", "callers' addresses of the VMs")
	faults := flag.String("faults", "", "time:signal:pid, separated by commas")
	save := flag.String("save", "", "file for the result as JSON")
	flag.StringVar(&l.group, "group", "choir", "database group")
	flag.DurationVar(&l.duration, "for", 10*time.Second, "length of the run")
	flag.IntVar(&l.sessions, "sessions", 12, "sessions at a time")
	flag.IntVar(&l.requestsPerVM, "roam", 10, "requests after which a session changes its VM; 0 means never")
	flag.DurationVar(&l.thinkTime, "think", 10*time.Millisecond, "time between a session's requests")
	flag.Parse()
	l.vms = strings.Split(*vms, ",")
	list, err := parseFaults(*faults)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	l.faults = list
	r := l.run(context.Background())
	r.print()
	if err := r.save(*save); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if len(r.Violations) > 0 {
		os.Exit(1)
	}
}

// fault is a signal that is sent to a process during the run.
type fault struct {
	// delay is the time from the start of the run.
	delay  time.Duration
	signal syscall.Signal
	pid    int
}

// signals are the signals that a fault may name.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// parseFaults parses a comma-separated list of faults, each as time:signal:pid.
// It rejects process IDs below 2, which would signal init or many processes.
func parseFaults(s string) ([]fault, error) {
	out := []fault{}
	for part := range strings.SplitSeq(s, ",") {
		if part == "" {
			continue
		}
		f := strings.Split(part, ":")
		if len(f) != 3 {
			return nil, fmt.Errorf("fault %q: write time:signal:pid", part)
		}
		at, err1 := time.ParseDuration(f[0])
		signal, ok := signals[f[1]]
		pid, err2 := strconv.Atoi(f[2])
		if err1 != nil || !ok || err2 != nil || pid < 2 {
			return nil, fmt.Errorf("fault %q: write time:signal:pid", part)
		}
		out = append(out, fault{delay: at, signal: signal, pid: pid})
	}
	return out, nil
}

// result holds the measurements of a run and the checks that failed.
type result struct {
	// Requests counts all requests that were sent.
	Requests int `json:"requests"`
	// Refused counts requests that were refused as not run.
	Refused int `json:"refused"`
	// Unknown counts requests whose outcome is unknown, which includes those
	// that failed with any other error.
	Unknown int `json:"unknown"`
	// Lost counts the unknown requests whose connection was lost.
	Lost int `json:"lost"`
	// GapMS is the longest time without an acknowledged write, in
	// milliseconds.
	GapMS int64 `json:"gap_ms"`
	// P50US, P99US and MaxUS are latencies of successful requests, in
	// microseconds.
	P50US int64 `json:"p50_us"`
	P99US int64 `json:"p99_us"`
	MaxUS int64 `json:"max_us"`
	// Violations describes each check that failed.
	Violations []string `json:"broken"`
}

func (r result) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests\t%d\n", r.Requests)
	fmt.Fprintf(w, "refused, not run\t%d\n", r.Refused)
	fmt.Fprintf(w, "outcome unknown\t%d\n", r.Unknown)
	fmt.Fprintf(w, "connections lost\t%d\n", r.Lost)
	fmt.Fprintf(w, "longest time without an acknowledged write\t%d ms\n", r.GapMS)
	fmt.Fprintf(w, "latency p50, p99, max\t%d, %d, %d us\n", r.P50US, r.P99US, r.MaxUS)
	for _, b := range r.Violations {
		fmt.Fprintf(w, "promise broken\t%s\n", b)
	}
	_ = w.Flush()
}

func (r result) save(file string) error {
	if file == "" {
		return nil
	}
	const mode = 0o644
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.WriteFile(file, text, mode); err != nil {
		return fmt.Errorf("save result: %w", err)
	}
	return nil
}
