package relay

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"net"
	"time"
)

// channel carries the requests and responses of one link.
type channel interface {
	// send writes requests without waiting for the responses.
	send(requests []request) error
	// receive returns the next response.
	receive() (response, error)
	// setDeadline sets the wall-clock deadline of send and receive, and may be called
	// while these run.
	setDeadline(t time.Time) error
	close()
}

// ownConnection is a channel with a connection of its own, for holders of former builds
// and for probes.
type ownConnection struct {
	conn    net.Conn
	writer  *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newOwnConnection(conn net.Conn) *ownConnection {
	w := bufio.NewWriterSize(conn, linkBuffer)
	return &ownConnection{conn: conn, writer: w, encoder: gob.NewEncoder(w), decoder: gob.NewDecoder(bufio.NewReaderSize(conn, linkBuffer))}
}

// greet sends the hello and returns the first response.
func (c *ownConnection) greet(h hello) (response, error) {
	if err := c.setDeadline(time.Now().Add(connectTimeout)); err != nil {
		return response{}, err
	}
	if err := c.encoder.Encode(h); err != nil {
		return response{}, fmt.Errorf("send hello to holder: %w", err)
	}
	if err := c.writer.Flush(); err != nil {
		return response{}, fmt.Errorf("send hello to holder: %w", err)
	}
	return c.receive()
}

func (c *ownConnection) send(requests []request) error {
	for _, r := range requests {
		if err := c.encoder.Encode(r); err != nil {
			return fmt.Errorf("send order to holder: %w", err)
		}
	}
	if err := c.writer.Flush(); err != nil {
		return fmt.Errorf("send order to holder: %w", err)
	}
	return nil
}

func (c *ownConnection) receive() (response, error) {
	r := response{}
	if err := c.decoder.Decode(&r); err != nil {
		return r, fmt.Errorf("receive reply from holder: %w", err)
	}
	return r, nil
}

func (c *ownConnection) setDeadline(t time.Time) error {
	if err := c.conn.SetDeadline(t); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

func (c *ownConnection) close() {
	// The channel is not used any more, whether or not closing succeeds.
	_ = c.conn.Close()
}
