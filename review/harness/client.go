package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"amaranthsill/internal/site"
)

// client is one session.
type client struct {
	name string
	conn net.Conn
	in   *bufio.Reader
}

var requests atomic.Int64

// nextID returns an ID that no other request has.
func nextID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+requests.Add(1)) }

func connect(name, address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	c := &client{name: name, conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s key-%s\r\n", database, name); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	line, err := site.ReadLine(c.in)
	if err != nil || !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("start was answered with %q: %w", line, errors.Join(errStart, err))
	}
	return c, nil
}

var errStart = errors.New("session did not start")

// query sends a query and returns the lines of its answer, of which READY is the last. The
// answer is complete if the error is nil.
func (c *client) query(id, text string, limit time.Duration) ([]string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	lines := []string{}
	for {
		line, err := site.ReadLine(c.in)
		if err != nil {
			return lines, fmt.Errorf("receive: %w", err)
		}
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY ") {
			return lines, nil
		}
	}
}
