// Package logline writes structured logs with a rate limit for each message,
// without ever blocking the code that logs.
//
// Lines go through a bounded buffer to one goroutine that writes them. If the
// output is slow and the buffer is full, lines are dropped and counted. Lines
// above the rate limit of their message are suppressed, and a later line with
// the same message says how many.
//
// # Usage
//
//	w := logline.NewWriter(os.Stdout)
//	log := logline.New(w)
//	log.Info("connection to the store lost", "reason", err.Error())
package logline

import (
	"io"
	"sync/atomic"
)

// bufferedLines is the number of lines that may wait for the output.
const bufferedLines = 1024

// Writer is an io.Writer that passes lines to a slower one in the background.
// It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer that writes to w and starts its goroutine, which
// runs until Close.
func NewWriter(w io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go writer.run(w)
	return writer
}

// Write queues a copy of one line. It never blocks and never fails: if the
// buffer is full, the line is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte{}, line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far because the buffer was
// full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits until all buffered lines are written and ends the goroutine.
// Write must not be called afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

// run writes queued lines to out until Close.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// A failed write to the log output cannot be logged.
		_, _ = out.Write(line)
	}
}
