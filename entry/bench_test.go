package entry_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/onsi/gomega"
)

// BenchmarkSimpleQuery compares a query through a VM with the same query sent
// directly to the simulated target.
func BenchmarkSimpleQuery(b *testing.B) {
	gomega.RegisterTestingT(b)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f := startSite(ctx, 1)
	direct := "postgres://me@" + f.site.Targets["choir"][0].Address + "/choir?sslmode=disable"
	through := "postgres://me@" + f.vms[0].callers + "/choir?sslmode=disable"
	for _, c := range []struct {
		name    string
		address string
		query   string
	}{
		{name: "direct", address: direct, query: "select value from marks where key = 'start'"},
		{name: "aged", address: through, query: "/* kind=tracks */ select value from marks where key = 'start'"},
		{name: "current", address: through, query: "/* kind=lookup */ select value from marks where key = 'start'"},
	} {
		b.Run(c.name, func(b *testing.B) { benchQuery(ctx, b, c.address, c.query) })
	}
}

// benchQuery reports the median latency of a query in microseconds.
func benchQuery(ctx context.Context, b *testing.B, address, query string) {
	c, err := pgx.Connect(ctx, address)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close(ctx) }()
	times := []time.Duration{}
	for b.Loop() {
		begin := time.Now()
		if _, err := c.Exec(ctx, query, pgx.QueryExecModeSimpleProtocol); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(begin))
	}
	b.ReportMetric(float64(median(times).Microseconds()), "median-us")
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// BenchmarkIdleCaller reports the process memory per idle caller's connection,
// without the operating system's socket buffers.
func BenchmarkIdleCaller(b *testing.B) {
	const callers = 2000
	gomega.RegisterTestingT(b)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f := startSite(ctx, 1)
	before := memoryInUse()
	open := make([]net.Conn, 0, callers)
	for b.Loop() {
		for len(open) < callers {
			open = append(open, idleCaller(b, f.vms[0].callers))
		}
	}
	after := memoryInUse()
	b.ReportMetric(float64(after-before)/callers, "bytes/caller")
	for _, c := range open {
		_ = c.Close()
	}
}

// idleCaller opens a session without a PostgreSQL driver, so that the caller's
// side uses almost no memory.
func idleCaller(b *testing.B, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	m := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "me", "database": "choir"}}
	text, err := m.Encode(nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.Write(text); err != nil {
		b.Fatal(err)
	}
	buffer := make([]byte, 1024)
	for last := byte(0); last != 'I'; {
		n, err := c.Read(buffer)
		if err != nil {
			b.Fatal(fmt.Errorf("read start-up reply: %w", err))
		}
		last = buffer[n-1]
	}
	return c
}

// memoryInUse returns the bytes of heap and stacks in use after garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
