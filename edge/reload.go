package edge

import (
	"context"
	"os"
	"runtime/debug"
	"time"
)

// reloadPause is the time between two looks at the settings file, which may
// change without a signal.
const reloadPause = 2 * time.Second

// reloader takes in settings that change while the VM runs.
type reloader struct {
	*VM
	// seen is the file's text that was last looked at.
	seen string
}

func (r *reloader) run(ctx context.Context) {
	if r.File == "" {
		return
	}
	r.seen = r.text()
	tick := time.NewTicker(reloadPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Hangups:
			r.Log.Info("told to read the settings again", "file", r.File)
		case <-tick.C:
		}
		r.look()
	}
}

// text returns the file's text; empty if it cannot be read just now.
func (r *reloader) text() string {
	b, err := os.ReadFile(r.File)
	if err != nil {
		r.Log.Info("settings cannot be read; those in force stay", "file", r.File, "reason", err.Error())
		return ""
	}
	return string(b)
}

// look takes in the file if its text has changed. Settings with a fault change
// nothing.
func (r *reloader) look() {
	text := r.text()
	if text == "" || text == r.seen {
		return
	}
	r.seen = text
	n, err := ParseSettings(r.File, []byte(text))
	if err != nil {
		r.Log.Error(err, "settings set aside; those in force stay")
		return
	}
	next, fixed := r.settings().Reload(n)
	r.reloaded.Store(&next)
	debug.SetMemoryLimit(int64(heapShare * float64(next.Memory())))
	r.Log.Info("settings in force", "memory", next.Memory(), "grace", next.Grace().String(), "seeds", len(next.Seeds()), "waitforstart", fixed)
}

// settings returns the settings in force.
func (v *VM) settings() Settings {
	if s := v.reloaded.Load(); s != nil {
		return *s
	}
	return v.Settings
}

// Reload returns the settings with what can change while a VM runs taken from
// others: memory, grace and seeds. It also returns the names of fields that
// differ and take effect at the next start.
func (s Settings) Reload(n Settings) (next Settings, fixed []string) {
	next = s
	next.memory, next.grace, next.seeds = n.memory, n.grace, n.seeds
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
	} {
		if f.old != f.new {
			fixed = append(fixed, f.name)
		}
	}
	return next, fixed
}
