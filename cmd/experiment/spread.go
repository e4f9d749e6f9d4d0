package main

import (
	"fmt"
	"runtime"
	"time"

	"amaranthsill/internal/fleet"
)

// spread measures the control machines of many VMs over in-memory links.
func spread(int) table {
	t := table{heading: []string{
		"VMs", "zones", "s to last VM", "idle B/s sent a VM", "busy B/s sent a VM", "platform calls/s", "cpu share a VM", "KB a VM",
	}}
	for _, n := range []int{8, 50, 200, 860} {
		t.rows = append(t.rows, spreadRow(n))
	}
	return t
}

// The times of a spread run. The busy part has a tenth of a day's changes and
// replacements in ten minutes, so its rate is divided by dayRatio.
const (
	joinFor  = time.Minute
	idleFor  = 2 * time.Minute
	busyFor  = 10 * time.Minute
	dayRatio = 14.4
	changes  = 64
	replaced = 23
	zones    = 5
)

func spreadRow(n int) []string {
	before := heapInUse()
	f := &fleet.Fleet{Seed: 1, Zones: zones}
	f.Grow(n)
	f.Run(joinFor)
	perVM := (heapInUse() - before) / n
	start := f.Cost()
	f.Run(joinFor + idleFor)
	rested := f.Cost()
	idle := float64(rested.Sent-start.Sent) / idleFor.Seconds() / float64(n)
	callRate := float64(rested.Calls-start.Calls) / idleFor.Seconds()
	slowest := submit(f)
	from, begun := f.Now(), f.Cost()
	for i := range changes {
		f.At(from+time.Duration(i)*busyFor/changes, f.Publish)
	}
	for i := range replaced {
		f.At(from+time.Duration(i)*busyFor/replaced, func() { f.Replace(i * 7) })
	}
	f.Run(from + busyFor)
	ended := f.Cost()
	busy := idle + (float64(ended.Sent-begun.Sent)/busyFor.Seconds()/float64(n)-idle)/dayRatio
	share := float64(ended.Processor-begun.Processor) / float64(busyFor) / float64(n)
	return []string{
		fmt.Sprint(n), fmt.Sprint(zones), fmt.Sprintf("%.2f", slowest.Seconds()),
		fmt.Sprintf("%.0f", idle), fmt.Sprintf("%.0f", busy), fmt.Sprintf("%.1f", callRate),
		fmt.Sprintf("%.5f%%", share*100), fmt.Sprint(perVM >> 10),
	}
}

func heapInUse() int {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// submit publishes a version and returns how long the last VM took.
func submit(f *fleet.Fleet) time.Duration {
	const step = 10 * time.Millisecond
	f.Publish()
	from := f.Now()
	for f.Now()-from < time.Minute && !f.Everywhere() {
		f.Run(f.Now() + step)
	}
	return f.Now() - from
}
