// Command experiment measures the decisions in virtual time, side by side, at
// both users' shapes. It prints tables and writes them as CSV.
//
//	experiment reads     the share of reads on replicas, against two baselines
//	experiment failover  the gap for each way to lose a primary
//	experiment sweep     detection time against needless promotions
//	experiment probes    the time between status requests against the gap
//	experiment slopes    what one VM spends for a group and a request
//	experiment spread    what the control side of many VMs costs
package main

import (
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

func main() {
	out := flag.String("out", "out", "directory for the CSV files")
	seeds := flag.Int("seeds", 200, "seeds of each failover and sweep row")
	flag.Parse()
	experiments := map[string]func(int) table{
		"reads":    reads,
		"failover": failovers,
		"sweep":    sweep,
		"probes":   probes,
		"spread":   spread,
		"slopes":   slopes,
	}
	run, ok := experiments[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "usage: experiment [flags] <reads|failover|sweep|probes|spread|slopes>")
		os.Exit(2)
	}
	t := run(*seeds)
	t.print()
	if err := t.save(filepath.Join(*out, flag.Arg(0)+".csv")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// table is a result: a heading and rows of cells.
type table struct {
	heading []string
	rows    [][]string
}

func (t table) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.heading, "\t"))
	for _, r := range t.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

func (t table) save(file string) error {
	const mode = 0o755
	if err := os.MkdirAll(filepath.Dir(file), mode); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("create table: %w", err)
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	if err := w.WriteAll(append([][]string{t.heading}, t.rows...)); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// parallel is how many runs go on at a time.
const parallel = 6

// each calls do for 0 to n-1, some at a time, and returns the results in
// order.
func each[T any](n int, do func(int) T) []T {
	out := make([]T, n)
	free := make(chan struct{}, parallel)
	var all sync.WaitGroup
	for i := range n {
		free <- struct{}{}
		all.Go(func() {
			out[i] = do(i)
			<-free
		})
	}
	all.Wait()
	return out
}

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
