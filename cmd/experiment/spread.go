package main

import (
	"fmt"
	"runtime"
	"time"

	"amaranthsill/internal/fleet"
)

// measureControlCosts measures the time until a new manifest version reaches all
// VMs, and the control traffic, processor time and memory of each VM. The VMs
// are simulated with in-memory links. The number of seeds is not used.
func measureControlCosts(int) table {
	t := table{heading: []string{
		"VMs", "zones", "s to last VM", "idle B/s sent a VM", "busy B/s sent a VM", "platform calls/s", "cpu share a VM", "KB a VM",
	}}
	for _, n := range []int{8, 50, 200, 860} {
		t.rows = append(t.rows, controlCostRow(n))
	}
	return t
}

// Schedule of a spread run: the VMs join, are idle, and are then busy. In the
// busy part, the changes and VM replacements of a tenth of a day happen in ten
// minutes, so the traffic above the idle rate is divided by dayRatio to get the
// mean over a day.
const (
	joinTime        = time.Minute
	idleTime        = 2 * time.Minute
	busyTime        = 10 * time.Minute
	dayRatio        = 14.4
	manifestChanges = 64
	replacedVMs     = 23
	zones           = 5
)

// controlCostRow runs a fleet of n VMs and returns its table row.
func controlCostRow(n int) []string {
	before := heapInUse()
	f := &fleet.Fleet{Seed: 1, Zones: zones}
	f.AddVMs(n)
	f.Run(joinTime)
	perVM := (heapInUse() - before) / n
	idleStart := f.Cost()
	f.Run(joinTime + idleTime)
	idleEnd := f.Cost()
	idleRate := float64(idleEnd.BytesSent-idleStart.BytesSent) / idleTime.Seconds() / float64(n)
	callRate := float64(idleEnd.PlatformCalls-idleStart.PlatformCalls) / idleTime.Seconds()
	propagation := propagationTime(f)
	from, busyStart := f.Now(), f.Cost()
	for i := range manifestChanges {
		f.At(from+time.Duration(i)*busyTime/manifestChanges, f.Publish)
	}
	for i := range replacedVMs {
		f.At(from+time.Duration(i)*busyTime/replacedVMs, func() { f.Replace(i * 7) })
	}
	f.Run(from + busyTime)
	busyEnd := f.Cost()
	busyRate := idleRate + (float64(busyEnd.BytesSent-busyStart.BytesSent)/busyTime.Seconds()/float64(n)-idleRate)/dayRatio
	cpuShare := float64(busyEnd.ProcessorTime-busyStart.ProcessorTime) / float64(busyTime) / float64(n)
	return []string{
		fmt.Sprint(n), fmt.Sprint(zones), fmt.Sprintf("%.2f", propagation.Seconds()),
		fmt.Sprintf("%.0f", idleRate), fmt.Sprintf("%.0f", busyRate), fmt.Sprintf("%.1f", callRate),
		fmt.Sprintf("%.5f%%", cpuShare*100), fmt.Sprint(perVM >> 10),
	}
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() int {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// propagationTime publishes a manifest version and returns the time until every
// VM has it in force, or one minute if that takes longer.
func propagationTime(f *fleet.Fleet) time.Duration {
	const step = 10 * time.Millisecond
	f.Publish()
	from := f.Now()
	for f.Now()-from < time.Minute && !f.LatestInForceEverywhere() {
		f.Run(f.Now() + step)
	}
	return f.Now() - from
}
