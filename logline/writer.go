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
	"time"
)

// bufferedLines is the number of lines that may wait for the output.
const bufferedLines = 1024

// Writer is an io.Writer that passes lines to a slower one in the background.
// It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, and done once all lines are written.
	closing, done chan struct{}
}

// NewWriter returns a Writer that writes to w and starts its goroutine, which
// runs until Close.
func NewWriter(w io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, bufferedLines), closing: make(chan struct{}), done: make(chan struct{})}
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

// Close waits until all buffered lines are written and ends the goroutine. Lines of later
// calls of Write are lost.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}

// CloseWithin is like Close, but returns after a time at the latest: an output that nobody
// reads must not keep the process from exiting.
func (w *Writer) CloseWithin(limit time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// run writes queued lines to out until Close, and then those that are left.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			// A failed write to the log output cannot be logged.
			_, _ = out.Write(line)
		case <-w.closing:
			w.writeRest(out)
			return
		}
	}
}

// writeRest writes the lines that are in the buffer.
func (w *Writer) writeRest(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}
