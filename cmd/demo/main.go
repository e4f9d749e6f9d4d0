// Command demo demonstrates the system's guarantees on running processes. It
// reads its own writes through other VMs, runs a transaction, reads with bounded
// staleness, repeats a write with an idempotency key, and kills the primary of
// the group and continues on the new one. It exits with 1 and names the
// guarantee if one does not hold.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// demoTimeout is the time in which the whole demo must finish.
const demoTimeout = 60 * time.Second

// main checks the guarantees named in the package comment on three running VMs. It
// prints the number of requests and of answers from replicas, how many requests
// were refused or have an unknown outcome, and how long the failover took.
func main() {
	vms := flag.String("vms", "127.0.0.1:6431,127.0.0.1:6432,127.0.0.1:6433", "callers' addresses of three VMs")
	admins := flag.String("admins", "127.0.0.1:9101,127.0.0.1:9102,127.0.0.1:9103", "admin addresses of the same VMs")
	group := flag.String("group", "choir", "database group")
	targetPIDs := flag.String("processes", "", "target=pid of the group's targets, separated by commas")
	flag.Parse()
	d := &demo{
		vms:            strings.Split(*vms, ","),
		adminAddresses: strings.Split(*admins, ","),
		group:          *group,
		pids:           parseProcesses(*targetPIDs),
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	err := d.run(ctx)
	d.print()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

// parseProcesses parses a comma-separated list of target=pid and skips malformed
// parts.
func parseProcesses(s string) map[string]int {
	out := map[string]int{}
	for part := range strings.SplitSeq(s, ",") {
		name, number, ok := strings.Cut(part, "=")
		pid := 0
		if _, err := fmt.Sscan(number, &pid); ok && err == nil {
			out[name] = pid
		}
	}
	return out
}

// counters are the totals that the demo prints.
type counters struct {
	requests     int
	replicaReads int
	refused      int
	unknown      int
	failoverGap  time.Duration
}

func (d *demo) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests\t%d\n", d.counts.requests)
	fmt.Fprintf(w, "answers from replicas, all that the VMs counted\t%d\n", d.counts.replicaReads)
	fmt.Fprintf(w, "refused, not run\t%d\n", d.counts.refused)
	fmt.Fprintf(w, "outcome unknown\t%d\n", d.counts.unknown)
	fmt.Fprintf(w, "failover gap\t%d ms\n", d.counts.failoverGap.Milliseconds())
	_ = w.Flush()
}
