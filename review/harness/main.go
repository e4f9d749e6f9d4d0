// Command harness runs the cases of the second review that are no days for the bench. Each
// starts the system's own programs as separate processes, with stand-ins for clients, servers
// and the platform, writes what was sent, answered and run to a record, and exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
//
//	TROUBLE=0 harness CASE RECORD
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// recorder writes the record of a case.
type recorder struct {
	lock  sync.Mutex
	file  *os.File
	begun time.Time
}

var record recorder

func (r *recorder) printf(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, values...)...)
}

// errBroken reports that the rule was broken.
var errBroken = errors.New("rule broken")

// maxLength is how long a case may run.
const maxLength = 115 * time.Second

var cases = map[string]func(folder string, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, file string) int {
	f, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	record = recorder{file: f, begun: time.Now()}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.printf("cannot run: %v", err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, disruption: %t", name, trouble)
	defer started.end()
	ended := make(chan error, 1)
	go func() { ended <- cases[name](folder, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-ended:
	case s := <-signals:
		err = fmt.Errorf("ended by a signal: %s", s)
	case <-time.After(maxLength):
		err = errors.New("took too long")
	}
	switch {
	case errors.Is(err, errBroken):
		record.printf("BROKEN: %v", err)
		fmt.Println(err)
		return 1
	case err != nil:
		record.printf("cannot run: %v", err)
		fmt.Println(err)
		return 2
	default:
		record.printf("the rule held")
		return 0
	}
}
