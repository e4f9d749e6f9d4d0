package logline

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// The rate of lines with one message.
const (
	// burstLines may come at once, and as many again in each period.
	burstLines = 20
	// period is the time in which the allowance is renewed.
	period = time.Second
)

// New returns a logger that writes JSON lines to w, at most burstLines of
// each message in a period.
func New(w *Writer) logr.Logger {
	h := &limiter{
		Handler: slog.NewJSONHandler(w, nil),
		shared:  &allowances{messages: map[string]*allowance{}},
	}
	return logr.FromSlogHandler(h)
}

// limiter passes on records within their message's allowance.
type limiter struct {
	slog.Handler
	shared *allowances
}

type allowances struct {
	lock     sync.Mutex
	messages map[string]*allowance
}

type allowance struct {
	until   time.Time
	left    int
	leftOut int
}

// take returns whether a line may be written, and how many were left out
// since the last one.
func (a *allowances) take(message string, now time.Time) (bool, int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	m := a.messages[message]
	if m == nil {
		m = &allowance{}
		a.messages[message] = m
	}
	if !now.Before(m.until) {
		m.until = now.Add(period)
		m.left = burstLines
	}
	if m.left == 0 {
		m.leftOut++
		return false, 0
	}
	m.left--
	n := m.leftOut
	m.leftOut = 0
	return true, n
}

// Handle implements slog.Handler.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	ok, leftOut := l.shared.take(r.Message, r.Time)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int("leftout", leftOut))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), shared: l.shared}
}

// WithGroup implements slog.Handler.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), shared: l.shared}
}
