// Package logline writes structured logs whose volume is bounded and which
// never hold up the code that logs.
//
// Lines go through a bounded buffer to one goroutine that writes them; when
// the reader of the output is slow, lines are dropped and counted. Lines with
// the same message beyond a rate are left out, and a later line says how many.
//
// # Usage
//
//	w := logline.NewWriter(os.Stdout)
//	log := logline.New(w)
//	log.Info("store is lost", "reason", err.Error())
package logline

import (
	"io"
	"sync/atomic"
)

// bufferedLines bounds the lines that wait for a slow reader.
const bufferedLines = 1024

// Writer hands lines to a slower writer. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer in front of w.
func NewWriter(w io.Writer) *Writer {
	n := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go n.run(w)
	return n
}

// Write takes one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte{}, line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is buffered. Write must not be called afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// There is nowhere to report that the output is gone.
		_, _ = out.Write(line)
	}
}
