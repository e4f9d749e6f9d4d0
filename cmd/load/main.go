// Command load puts callers' work on running VMs through an ordinary driver,
// strikes failures by signals to processes that it is given the ids of, and
// measures what callers get. It exits non-zero if a promise does not hold.
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
	l := &load{}
	vms := flag.String("vms", "127.0.0.1:6431,127.0.0.1:6432,127.0.0.1:6433", "callers' addresses of the VMs")
	faults := flag.String("faults", "", "time:signal:pid, separated by commas")
	save := flag.String("save", "", "file for the result as JSON")
	flag.StringVar(&l.group, "group", "choir", "database group")
	flag.DurationVar(&l.length, "for", 10*time.Second, "length of the run")
	flag.IntVar(&l.sessions, "sessions", 12, "sessions at a time")
	flag.IntVar(&l.roam, "roam", 10, "requests after which a session changes its VM; 0 means never")
	flag.DurationVar(&l.think, "think", 10*time.Millisecond, "time between a session's requests")
	flag.Parse()
	l.vms = strings.Split(*vms, ",")
	list, err := readFaults(*faults)
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
	if len(r.Broken) > 0 {
		os.Exit(1)
	}
}

// fault is a signal to a process at a time.
type fault struct {
	at     time.Duration
	signal syscall.Signal
	pid    int
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

func readFaults(s string) ([]fault, error) {
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
		out = append(out, fault{at: at, signal: signal, pid: pid})
	}
	return out, nil
}

// result is what a run gave.
type result struct {
	Requests int      `json:"requests"`
	Refused  int      `json:"refused"`
	Unknown  int      `json:"unknown"`
	Lost     int      `json:"lost"`
	GapMS    int64    `json:"gap_ms"`
	P50US    int64    `json:"p50_us"`
	P99US    int64    `json:"p99_us"`
	MaxUS    int64    `json:"max_us"`
	Broken   []string `json:"broken"`
}

func (r result) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests\t%d\n", r.Requests)
	fmt.Fprintf(w, "refused, not run\t%d\n", r.Refused)
	fmt.Fprintf(w, "outcome unknown\t%d\n", r.Unknown)
	fmt.Fprintf(w, "connections lost\t%d\n", r.Lost)
	fmt.Fprintf(w, "longest time without an acknowledged write\t%d ms\n", r.GapMS)
	fmt.Fprintf(w, "latency p50, p99, max\t%d, %d, %d us\n", r.P50US, r.P99US, r.MaxUS)
	for _, b := range r.Broken {
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
