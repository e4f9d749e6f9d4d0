package edge

import (
	"context"
	"maps"
	"os"
	"runtime/debug"
	"time"
)

// reloadInterval is the time between two checks of the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// reloader applies changes of the settings file while the VM runs.
type reloader struct {
	*VM
	// lastText is the content of the file when it was last applied or rejected.
	lastText string
}

// run checks the settings file at every interval and signal until the context
// ends. It returns at once if the VM has no settings file.
func (r *reloader) run(ctx context.Context) {
	if r.SettingsFile == "" {
		return
	}
	r.lastText = r.readFile()
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ReloadSignals:
			r.Log.Info("received a signal to reload the settings", "file", r.SettingsFile)
		case <-tick.C:
		}
		r.reloadIfChanged()
	}
}

// readFile returns the content of the settings file; empty if it cannot be read.
func (r *reloader) readFile() string {
	b, err := os.ReadFile(r.SettingsFile)
	if err != nil {
		r.Log.Info("settings file cannot be read; the settings in force stay", "file", r.SettingsFile, "reason", err.Error())
		return ""
	}
	return string(b)
}

// reloadIfChanged applies the settings file if its content has changed. If the
// settings are invalid, those in force stay.
func (r *reloader) reloadIfChanged() {
	text := r.readFile()
	if text == "" || text == r.lastText {
		return
	}
	r.lastText = text
	n, err := ParseSettings(r.SettingsFile, []byte(text))
	if err != nil {
		r.Log.Error(err, "settings file is invalid; the settings in force stay")
		return
	}
	next, needRestart := r.settings().Reload(n)
	r.reloaded.Store(&next)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(next.MemoryBytes())))
	r.Log.Info("settings in force", "memory", next.MemoryBytes(), "grace", next.Grace().String(), "seeds", len(next.Seeds()), "waitforstart", needRestart)
}

// settings returns the settings in force.
func (v *VM) settings() Settings {
	if s := v.reloaded.Load(); s != nil {
		return *s
	}
	return v.Settings
}

// Reload returns the settings with memory, grace and seeds, which can change while
// a VM runs, taken from n. needRestart names the other fields in which n differs;
// they take effect at the next start.
func (s Settings) Reload(n Settings) (next Settings, needRestart []string) {
	next = s
	next.memoryMB, next.grace, next.seeds = n.memoryMB, n.grace, n.seeds
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"vm", s.vm, n.vm},
		{"zone", s.zone, n.zone},
		{"callers", s.callers, n.callers},
		{"ready", s.ready, n.ready},
		{"peers", s.peers, n.peers},
		{"metrics", s.metrics, n.metrics},
		{"relay", s.relay, n.relay},
		{"store", s.store, n.store},
		{"duty", s.duty, n.duty},
		{"first", s.first, n.first},
		{"cores", s.cores, n.cores},
		{"share", s.share, n.share},
		{"traffic", s.traffic, n.traffic},
	} {
		if f.old != f.new {
			needRestart = append(needRestart, f.name)
		}
	}
	if !maps.Equal(s.regions, n.regions) {
		needRestart = append(needRestart, "regions")
	}
	return next, needRestart
}
