// Command demo is a caller that shows the system's promises against running
// processes: it writes, reads its writes through another VM, runs a
// transaction, kills a primary, and goes on. It exits non-zero and names the
// promise if one does not hold.
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

// demoLimit bounds the whole run.
const demoLimit = 60 * time.Second

func main() {
	vms := flag.String("vms", "127.0.0.1:6431,127.0.0.1:6432,127.0.0.1:6433", "callers' addresses of three VMs")
	admins := flag.String("admins", "127.0.0.1:9101,127.0.0.1:9102,127.0.0.1:9103", "admin addresses of the same VMs")
	group := flag.String("group", "choir", "database group")
	processes := flag.String("processes", "", "target=pid of the group's targets, separated by commas")
	flag.Parse()
	d := &demo{
		vms:       strings.Split(*vms, ","),
		admins:    strings.Split(*admins, ","),
		group:     *group,
		processes: readProcesses(*processes),
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	err := d.run(ctx)
	d.print()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func readProcesses(s string) map[string]int {
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

// tally counts what the caller got.
type tally struct {
	requests int
	replica  int
	refused  int
	unknown  int
	gap      time.Duration
}

func (d *demo) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests\t%d\n", d.tally.requests)
	fmt.Fprintf(w, "answers from replicas, all that the VMs counted\t%d\n", d.tally.replica)
	fmt.Fprintf(w, "refused, not run\t%d\n", d.tally.refused)
	fmt.Fprintf(w, "outcome unknown\t%d\n", d.tally.unknown)
	fmt.Fprintf(w, "failover gap\t%d ms\n", d.tally.gap.Milliseconds())
	_ = w.Flush()
}
