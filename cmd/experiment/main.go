// Command experiment measures routing, failover and control traffic in
// simulations with virtual time, under the workloads of both users. It prints a
// table and writes it as a CSV file.
//
//	experiment reads     share of reads answered by replicas, against two baselines
//	experiment failover  write unavailability for each way to lose a primary
//	experiment sweep     detection times against false-positive promotions
//	experiment probes    health check interval against write unavailability
//	experiment slopes    marginal cost of a group and of a request on one VM
//	experiment spread    control traffic and processor time of up to 860 VMs
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
		"reads":    measureReads,
		"failover": measureFailovers,
		"sweep":    sweepDetectionTimes,
		"probes":   sweepProbeIntervals,
		"spread":   measureControlCosts,
		"slopes":   measureMarginalCosts,
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

// table is the result of an experiment.
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

// save writes the table as CSV and creates the file's directory if needed.
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

// parallelRuns is the number of simulations that run concurrently.
const parallelRuns = 6

// parallelMap calls do with each index from 0 to n-1, at most parallelRuns of
// them concurrently, and returns the results by index.
func parallelMap[T any](n int, do func(int) T) []T {
	out := make([]T, n)
	slots := make(chan struct{}, parallelRuns)
	var running sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		running.Go(func() {
			out[i] = do(i)
			<-slots
		})
	}
	running.Wait()
	return out
}

// percent formats a share, or "-" if the whole is zero.
func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

// milliseconds formats a duration as milliseconds with one decimal.
func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
