package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"amaranthsill/caller"
	"amaranthsill/entry"
)

// demo is one run of the demo.
type demo struct {
	vms            []string
	adminAddresses []string
	group          string
	// pids has the process ID of each target, by the target's name.
	pids   map[string]int
	counts counters
}

// violation is an error that describes a guarantee that did not hold.
type violation string

// Error implements error.
func (v violation) Error() string { return "promise broken: " + string(v) }

// run executes all steps in order and stops at the first error.
func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{d.awaitVMs, d.readOwnWrites, d.transaction, d.boundedStalenessReads, d.repeatKeyedWrite, d.failover}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.counts.replicaReads = d.countReplicaReads(ctx)
	return nil
}

// connect opens a connection to the VM with the given index. A session token, if
// not empty, continues the session of an earlier connection.
func (d *demo) connect(ctx context.Context, vm int, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://demo@" + d.vms[vm] + "/" + d.group + "?sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("build connection string: %w", err)
	}
	if token != "" {
		c.RuntimeParams["amaranthsill.session"] = token
	}
	conn, err := pgx.ConnectConfig(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("connect to VM %s: %w", d.vms[vm], err)
	}
	return conn, nil
}

// tokenOf returns the session token that the VM sent last on the connection.
func tokenOf(c *pgx.Conn) string { return c.PgConn().ParameterStatus("amaranthsill.session") }

// write sets a row of the table marks and counts the outcome.
func (d *demo) write(ctx context.Context, c *pgx.Conn, key, value string) error {
	_, err := c.Exec(ctx, "/* kind=marks */ insert into marks (key, value) values ($1, $2) on conflict (key) do update set value = excluded.value", key, value)
	return d.countOutcome(err)
}

// read returns the value of a row of the table marks, as a request of the given
// kind, and counts the outcome.
func (d *demo) read(ctx context.Context, c *pgx.Conn, kind, key string) (string, error) {
	value := ""
	err := c.QueryRow(ctx, "/* kind="+kind+" */ select value from marks where key = $1", key).Scan(&value)
	return value, d.countOutcome(err)
}

// countOutcome counts a request by its error and returns the error.
func (d *demo) countOutcome(err error) error {
	d.counts.requests++
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return err
	}
	switch pgErr.Code {
	case caller.CodeRefused:
		d.counts.refused++
	case caller.CodeUnknown:
		d.counts.unknown++
	}
	return err
}

// awaitVMs waits until a write succeeds through every VM, and then resets the
// counters.
func (d *demo) awaitVMs(ctx context.Context) error {
	for vm := range d.vms {
		for {
			err := d.tryWrite(ctx, vm)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("VM %s does not serve: %w", d.vms[vm], err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.counts = counters{}
	return nil
}

// tryWrite connects to a VM and writes one row.
func (d *demo) tryWrite(ctx context.Context, vm int) error {
	c, err := d.connect(ctx, vm, "")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	return d.write(ctx, c, "start", strconv.Itoa(vm))
}

// readOwnWrites checks read-your-writes: it repeatedly writes through one VM and
// reads through the next with the session token.
func (d *demo) readOwnWrites(ctx context.Context) error {
	const rounds = 60
	c, err := d.connect(ctx, 0, "")
	if err != nil {
		return err
	}
	for i := range rounds {
		value := strconv.Itoa(i)
		if err := d.write(ctx, c, "own", value); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		token := tokenOf(c)
		_ = c.Close(ctx)
		if c, err = d.connect(ctx, (i+1)%len(d.vms), token); err != nil {
			return err
		}
		got, err := d.read(ctx, c, "lookup", "own")
		if err != nil {
			return fmt.Errorf("read own write: %w", err)
		}
		if got != value {
			return violation(fmt.Sprintf("read-your-writes: wrote %s, read %s through another VM", value, got))
		}
	}
	return c.Close(ctx)
}

// transaction writes two rows in a transaction and checks that both are visible
// after the commit.
func (d *demo) transaction(ctx context.Context) error {
	c, err := d.connect(ctx, 1, "")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	tx, err := c.Begin(ctx)
	if err != nil {
		return fmt.Errorf("begin: %w", err)
	}
	for _, key := range []string{"left", "right"} {
		if _, err := tx.Exec(ctx, "insert into dues (key, value) values ($1, '5') on conflict (key) do update set value = excluded.value", key); err != nil {
			return fmt.Errorf("write in transaction: %w", err)
		}
	}
	d.counts.requests += 4
	if err := tx.Commit(ctx); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	total := ""
	if err := c.QueryRow(ctx, "/* kind=lookup */ select count(*) from dues").Scan(&total); err != nil {
		return fmt.Errorf("read after commit: %w", err)
	}
	if total != "2" {
		return violation("transaction: " + total + " of 2 rows after commit")
	}
	return nil
}

// boundedStalenessReads sends reads of a kind with an age, which replicas may
// answer.
func (d *demo) boundedStalenessReads(ctx context.Context) error {
	const rounds = 50
	c, err := d.connect(ctx, 2, "")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	for range rounds {
		if _, err := d.read(ctx, c, "tracks", "own"); err != nil {
			return fmt.Errorf("aged read: %w", err)
		}
	}
	return nil
}

// repeatKeyedWrite sends the same payment through two VMs with one idempotency
// key. The second one must get the first one's answer instead of an error.
func (d *demo) repeatKeyedWrite(ctx context.Context) error {
	for vm := range 2 {
		c, err := d.connect(ctx, vm, "")
		if err != nil {
			return err
		}
		_, err = c.Exec(ctx, "/* kind=payment key=8f2a */ insert into payments (key, value) values ('one', '5')", pgx.QueryExecModeSimpleProtocol)
		_ = c.Close(ctx)
		if d.countOutcome(err) != nil {
			return fmt.Errorf("payment %d of one key: %w", vm+1, err)
		}
	}
	return nil
}

// failover kills the primary, measures the time until a write is acknowledged
// again, and checks that the write can be read.
func (d *demo) failover(ctx context.Context) error {
	primary, err := d.primary(ctx)
	if err != nil {
		return err
	}
	pid := d.pids[primary]
	if pid == 0 {
		return fmt.Errorf("no process given for primary %s", primary)
	}
	c, err := d.connect(ctx, 0, "")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	last := 0
	if err := d.write(ctx, c, "gap", strconv.Itoa(last)); err != nil {
		return fmt.Errorf("write before failover: %w", err)
	}
	begin := time.Now()
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		return fmt.Errorf("kill primary %s: %w", primary, err)
	}
	if err := d.writeUntilAcknowledged(ctx, c, &last); err != nil {
		return err
	}
	d.counts.failoverGap = time.Since(begin)
	return d.verifyLastWrite(ctx, c, last)
}

// writeUntilAcknowledged writes increasing numbers until one is acknowledged, and
// sets last to it. It fails if the connection is lost.
func (d *demo) writeUntilAcknowledged(ctx context.Context, c *pgx.Conn, last *int) error {
	for {
		*last++
		err := d.write(ctx, c, "gap", strconv.Itoa(*last))
		if err == nil {
			return nil
		}
		var pgErr *pgconn.PgError
		if ctx.Err() != nil || !errors.As(err, &pgErr) {
			return fmt.Errorf("session did not go on after the failover: %w", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// verifyLastWrite checks that the last acknowledged write can be read.
func (d *demo) verifyLastWrite(ctx context.Context, c *pgx.Conn, last int) error {
	got, err := d.read(ctx, c, "lookup", "gap")
	if err != nil {
		return fmt.Errorf("read after failover: %w", err)
	}
	if got != strconv.Itoa(last) {
		return violation(fmt.Sprintf("acknowledged write %d lost over the failover; read %s", last, got))
	}
	return nil
}

// primary returns the name of the group's primary as the first VM knows it.
func (d *demo) primary(ctx context.Context) (string, error) {
	s := entry.Status{}
	if err := d.getFromFirstVM(ctx, "/status", func(a *http.Response) error { return json.NewDecoder(a.Body).Decode(&s) }); err != nil {
		return "", err
	}
	for _, g := range s.Groups {
		if g.Name == d.group {
			return g.Primary, nil
		}
	}
	return "", fmt.Errorf("status names no group %s", d.group)
}

// getFromFirstVM sends a GET request to the first VM's admin address.
func (d *demo) getFromFirstVM(ctx context.Context, path string, read func(*http.Response) error) error {
	return getFromVM(ctx, d.adminAddresses[0], path, read)
}

// getFromVM sends a GET request to an admin address and passes the response to
// read.
func getFromVM(ctx context.Context, address, path string, read func(*http.Response) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("ask VM: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := read(resp); err != nil {
		return fmt.Errorf("read answer of VM: %w", err)
	}
	return nil
}

// countReplicaReads returns the number of requests that replicas answered, summed
// over the VMs' metrics. VMs that do not answer count as zero.
func (d *demo) countReplicaReads(ctx context.Context) int {
	n := 0
	for _, a := range d.adminAddresses {
		_ = getFromVM(ctx, a, "/metrics", func(r *http.Response) error {
			for s := bufio.NewScanner(r.Body); s.Scan(); {
				line := s.Text()
				if !strings.HasPrefix(line, "amaranthsill_requests_total") || !strings.Contains(line, `role="replica"`) {
					continue
				}
				f := strings.Fields(line)
				v, _ := strconv.ParseFloat(f[len(f)-1], 64)
				n += int(v)
			}
			return nil
		})
	}
	return n
}
