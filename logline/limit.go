package logline

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Rate limit for lines with the same message.
const (
	// linesPerPeriod is the number of lines that pass in one ratePeriod.
	linesPerPeriod = 20
	// ratePeriod is the time after which the limit of a message is reset.
	ratePeriod = time.Second
)

// New returns a logger that writes JSON lines to w, at most 20 a second for
// each message text. The next line that passes has the number of suppressed
// lines under the key "leftout".
func New(w *Writer) logr.Logger {
	h := &limitHandler{
		Handler: slog.NewJSONHandler(w, nil),
		limits:  &messageLimits{messages: map[string]*messageLimit{}},
	}
	return logr.FromSlogHandler(h)
}

// limitHandler is a slog.Handler that drops records above the rate limit of
// their message. Handlers derived from it share the limits.
type limitHandler struct {
	slog.Handler
	limits *messageLimits
}

// messageLimits holds the rate limit of every message that was logged, by its
// text.
type messageLimits struct {
	lock     sync.Mutex
	messages map[string]*messageLimit
}

// messageLimit is the rate limit of one message.
type messageLimit struct {
	renewAt    time.Time
	remaining  int
	suppressed int
}

// allow reports whether a line with the message may be written at the given
// time. If so, it also returns the number of lines with this message that were
// suppressed since the last one that passed.
func (m *messageLimits) allow(message string, now time.Time) (bool, int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	l := m.messages[message]
	if l == nil {
		l = &messageLimit{}
		m.messages[message] = l
	}
	if !now.Before(l.renewAt) {
		l.renewAt = now.Add(ratePeriod)
		l.remaining = linesPerPeriod
	}
	if l.remaining == 0 {
		l.suppressed++
		return false, 0
	}
	l.remaining--
	n := l.suppressed
	l.suppressed = 0
	return true, n
}

// Handle implements slog.Handler.
func (h *limitHandler) Handle(ctx context.Context, r slog.Record) error {
	ok, leftOut := h.limits.allow(r.Message, r.Time)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int("leftout", leftOut))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *limitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitHandler{Handler: h.Handler.WithAttrs(attrs), limits: h.limits}
}

// WithGroup implements slog.Handler.
func (h *limitHandler) WithGroup(name string) slog.Handler {
	return &limitHandler{Handler: h.Handler.WithGroup(name), limits: h.limits}
}
