package edge

import (
	"errors"
	"fmt"
	"maps"

	"amaranthsill/store"
)

// entryKind is the kind of an entry in the store, as the label of a metric.
type entryKind string

const (
	entryTarget        entryKind = "target"
	entryVM            entryKind = "vm"
	entryConfiguration entryKind = "configuration"
	entryRecord        entryKind = "record"
	entryReplicas      entryKind = "replicas"
)

// invalidMessages are the log messages for entries that cannot be used.
var invalidMessages = map[entryKind]string{
	entryTarget:        "target's entry cannot be decoded; the target is not used",
	entryVM:            "VM's entry cannot be decoded; ignoring it",
	entryConfiguration: "configuration cannot be decoded; the one in force stays",
	entryRecord:        "leader record cannot be decoded; ignoring it",
	entryReplicas:      "list of targets cannot be decoded; writing it again",
}

// Bounds on what is kept of entries that cannot be used. Another writer may have written
// them.
const (
	// maxLoggedBytes limits a key and a reason in a log line.
	maxLoggedBytes = 400
	// maxOddTargetBytes is the length from which a target's entry that cannot be used is
	// kept, and passed on to other VMs, without its text. A usable one has a few hundred
	// bytes.
	maxOddTargetBytes = 16 << 10
)

// decodeEntry decodes an entry. A panic becomes an error: goroutines without another way
// to end take in changes too, and would meet the entry again.
func decodeEntry[T any](decode func() (T, error)) (value T, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("decode entry: %v: %w", reason, ErrPanic)
		}
	}()
	return decode()
}

// entryInvalid counts an entry that cannot be used, and logs it once a minute. The caller
// holds the lock.
func (d *Directory) entryInvalid(kind entryKind, i store.Item, err error) {
	if d.invalid == nil {
		d.invalid = map[string]int{}
	}
	d.invalid[string(kind)]++
	if kind == entryTarget && len(i.Value) > maxOddTargetBytes {
		kept := i
		kept.Value = nil
		d.items[i.Key] = kept
	}
	key, reason := beginning(i.Key), beginning(err.Error())
	allowed, leftOut := d.repeats.Allow(key, d.Now())
	if !allowed {
		return
	}
	details := []any{"key", key, "revision", i.Revision.String(), "bytes", len(i.Value), "more", leftOut}
	if kind == entryTarget || kind == entryVM {
		d.Log.Info(invalidMessages[kind], append(details, "reason", reason)...)
		return
	}
	// Only operators and VMs write these.
	d.Log.Error(errors.New(reason), invalidMessages[kind], details...)
}

// beginning returns the first maxLoggedBytes of a text.
func beginning(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// InvalidEntries returns how many states of entries could not be used, by kind: "target",
// "vm", "configuration", "record" or "replicas".
func (d *Directory) InvalidEntries() map[string]int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return maps.Clone(d.invalid)
}
