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

// demo is one run.
type demo struct {
	vms       []string
	admins    []string
	group     string
	processes map[string]int
	tally     tally
}

// broken is a promise that did not hold.
type broken string

// Error names the promise.
func (b broken) Error() string { return "promise broken: " + string(b) }

func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{d.await, d.readOwnWrites, d.transaction, d.agedRead, d.keyed, d.failover}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.tally.replica = d.replicaReads(ctx)
	return nil
}

// connect opens a session on a VM; a token carries it on from another.
func (d *demo) connect(ctx context.Context, vm int, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://demo@" + d.vms[vm] + "/" + d.group + "?sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("build connection string: %w", err)
	}
	if token != "" {
		c.RuntimeParams["amaranthsill.session"] = token
	}
	n, err := pgx.ConnectConfig(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("connect to VM %s: %w", d.vms[vm], err)
	}
	return n, nil
}

func tokenOf(c *pgx.Conn) string { return c.PgConn().ParameterStatus("amaranthsill.session") }

// write saves a mark; it counts how it ended.
func (d *demo) write(ctx context.Context, c *pgx.Conn, key, value string) error {
	_, err := c.Exec(ctx, "/* kind=marks */ insert into marks (key, value) values ($1, $2) on conflict (key) do update set value = excluded.value", key, value)
	return d.count(err)
}

func (d *demo) read(ctx context.Context, c *pgx.Conn, kind, key string) (string, error) {
	value := ""
	err := c.QueryRow(ctx, "/* kind="+kind+" */ select value from marks where key = $1", key).Scan(&value)
	return value, d.count(err)
}

func (d *demo) count(err error) error {
	d.tally.requests++
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return err
	}
	switch pg.Code {
	case caller.CodeRefused:
		d.tally.refused++
	case caller.CodeUnknown:
		d.tally.unknown++
	}
	return err
}

// await waits until every VM serves the group.
func (d *demo) await(ctx context.Context) error {
	for vm := range d.vms {
		for {
			err := d.tryOnce(ctx, vm)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("VM %s does not serve: %w", d.vms[vm], err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.tally = tally{}
	return nil
}

func (d *demo) tryOnce(ctx context.Context, vm int) error {
	c, err := d.connect(ctx, vm, "")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	return d.write(ctx, c, "start", strconv.Itoa(vm))
}

// readOwnWrites writes through one VM and reads through the next.
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
			return broken(fmt.Sprintf("read-your-writes: wrote %s, read %s through another VM", value, got))
		}
	}
	return c.Close(ctx)
}

// transaction moves an amount between two rows.
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
	d.tally.requests += 4
	if err := tx.Commit(ctx); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	total := ""
	if err := c.QueryRow(ctx, "/* kind=lookup */ select count(*) from dues").Scan(&total); err != nil {
		return fmt.Errorf("read after commit: %w", err)
	}
	if total != "2" {
		return broken("transaction: " + total + " of 2 rows after commit")
	}
	return nil
}

// agedRead reads with a stated age.
func (d *demo) agedRead(ctx context.Context) error {
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

// keyed sends a payment twice under one key.
func (d *demo) keyed(ctx context.Context) error {
	for vm := range 2 {
		c, err := d.connect(ctx, vm, "")
		if err != nil {
			return err
		}
		_, err = c.Exec(ctx, "/* kind=payment key=8f2a */ insert into payments (key, value) values ('one', '5')", pgx.QueryExecModeSimpleProtocol)
		_ = c.Close(ctx)
		if d.count(err) != nil {
			return fmt.Errorf("payment %d of one key: %w", vm+1, err)
		}
	}
	return nil
}

// failover kills the primary and writes until a write is acknowledged again.
func (d *demo) failover(ctx context.Context) error {
	primary, err := d.primary(ctx)
	if err != nil {
		return err
	}
	pid := d.processes[primary]
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
	if err := d.writeUntilDone(ctx, c, &last); err != nil {
		return err
	}
	d.tally.gap = time.Since(begin)
	return d.readLast(ctx, c, last)
}

// writeUntilDone repeats a write until it is acknowledged.
func (d *demo) writeUntilDone(ctx context.Context, c *pgx.Conn, last *int) error {
	for {
		*last++
		err := d.write(ctx, c, "gap", strconv.Itoa(*last))
		if err == nil {
			return nil
		}
		var pg *pgconn.PgError
		if ctx.Err() != nil || !errors.As(err, &pg) {
			return fmt.Errorf("session did not go on after the failover: %w", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (d *demo) readLast(ctx context.Context, c *pgx.Conn, last int) error {
	got, err := d.read(ctx, c, "lookup", "gap")
	if err != nil {
		return fmt.Errorf("read after failover: %w", err)
	}
	if got != strconv.Itoa(last) {
		return broken(fmt.Sprintf("acknowledged write %d lost over the failover; read %s", last, got))
	}
	return nil
}

func (d *demo) primary(ctx context.Context) (string, error) {
	s := entry.Status{}
	if err := d.get(ctx, "/status", func(a *http.Response) error { return json.NewDecoder(a.Body).Decode(&s) }); err != nil {
		return "", err
	}
	for _, g := range s.Groups {
		if g.Name == d.group {
			return g.Primary, nil
		}
	}
	return "", fmt.Errorf("status names no group %s", d.group)
}

func (d *demo) get(ctx context.Context, path string, read func(*http.Response) error) error {
	return getFrom(ctx, d.admins[0], path, read)
}

func getFrom(ctx context.Context, address, path string, read func(*http.Response) error) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("ask VM: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	if err := read(a); err != nil {
		return fmt.Errorf("read answer of VM: %w", err)
	}
	return nil
}

// replicaReads adds up the VMs' counts of answers from replicas.
func (d *demo) replicaReads(ctx context.Context) int {
	n := 0
	for _, a := range d.admins {
		_ = getFrom(ctx, a, "/metrics", func(r *http.Response) error {
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
