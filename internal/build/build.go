// Package build tells which build of the program runs, so that a log or a metric of a
// process can be compared with a tree of sources and with an executable file.
//
// Two marks tell builds apart, and neither needs version control on the machine that
// builds. The digest of the sources is set by the linker, as the build line in
// deploy/system.toml does:
//
//	go build -ldflags="-X amaranthsill/internal/build.sources=$(sh scripts/sources.sh)" ./cmd/amaranthsilld
//
// It is the same on all machines for the same sources. The build ID is the GNU build ID
// that the linker writes into the executable; it also differs between compilers, flags
// and processors.
//
// # Usage
//
//	id := build.Current()
//	log.Info("starting", id.Fields()...)
package build

import (
	"debug/elf"
	"encoding/hex"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
)

// unknown stands for a mark that the executable does not have.
const unknown = "unknown"

// sources is the digest that scripts/sources.sh prints, set by the linker.
var sources string

// Identity tells builds apart.
type Identity struct {
	module, revision, sources, id string
}

// Current returns the identity of the running program. Marks that the executable does not
// have are "unknown".
var Current = sync.OnceValue(func() Identity {
	i := Identity{module: unknown, revision: unknown, sources: unknown, id: unknown}
	if sources != "" {
		i.sources = sources
	}
	if b, ok := debug.ReadBuildInfo(); ok {
		i.module = b.Main.Version
		i.revision = revisionOf(b)
	}
	if file, err := os.Executable(); err == nil {
		if id, err := idOf(file); err == nil {
			i.id = id
		}
	}
	return i
})

// revisionOf returns the commit that the go command recorded, followed by "+changes" if
// files had changed since, or "unknown".
func revisionOf(b *debug.BuildInfo) string {
	settings := map[string]string{}
	for _, s := range b.Settings {
		settings[s.Key] = s.Value
	}
	revision := settings["vcs.revision"]
	switch {
	case revision == "":
		return unknown
	case settings["vcs.modified"] == "true":
		return revision + "+changes"
	}
	return revision
}

// The layout of an ELF note: three words of 4 bytes, the name "GNU\0", and the ID.
const (
	noteSection = ".note.gnu.build-id"
	noteHeader  = 16
)

// idOf returns the GNU build ID of an executable file in hexadecimal digits.
func idOf(file string) (string, error) {
	f, err := elf.Open(file)
	if err != nil {
		return "", fmt.Errorf("read executable: %w", err)
	}
	defer func() { _ = f.Close() }()
	s := f.Section(noteSection)
	if s == nil {
		return "", fmt.Errorf("executable %s has no section %s", file, noteSection)
	}
	note, err := s.Data()
	if err != nil {
		return "", fmt.Errorf("read build ID: %w", err)
	}
	if len(note) <= noteHeader {
		return "", fmt.Errorf("section %s of %s has %d bytes, too few for a build ID", noteSection, file, len(note))
	}
	return hex.EncodeToString(note[noteHeader:]), nil
}

// Sources returns the digest of the sources.
func (i Identity) Sources() string { return i.sources }

// ID returns the GNU build ID.
func (i Identity) ID() string { return i.id }

// Fields returns the identity as names and values for a structured log line.
func (i Identity) Fields() []any {
	return []any{"sources", i.sources, "build", i.id, "revision", i.revision, "go", runtime.Version(), "arch", runtime.GOARCH}
}

// Labels returns the identity as labels of a metric.
func (i Identity) Labels() map[string]string {
	labels := map[string]string{}
	fields := i.Fields()
	for n := 0; n < len(fields); n += 2 {
		labels[fields[n].(string)] = fields[n+1].(string)
	}
	return labels
}

// String returns the module's version and the identity on one line.
func (i Identity) String() string {
	b := strings.Builder{}
	b.WriteString(i.module)
	fields := i.Fields()
	for n := 0; n < len(fields); n += 2 {
		fmt.Fprintf(&b, " %s=%s", fields[n], fields[n+1])
	}
	return b.String()
}
