package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxAnswerBytes limits the body of an answer; it leaves room for a value of
// 1 MiB, encoded as base64.
const maxAnswerBytes = 4 << 20

// callTimeout limits a call; a watch may take its wait time in addition.
const callTimeout = 2 * time.Second

// Client is a Store over HTTP and JSON. Set the exported fields before the
// first call; after that it is safe for concurrent use.
type Client struct {
	// Address is the host and port of the service.
	Address string
	// HTTP is the HTTP client for all calls; nil means http.DefaultClient.
	HTTP *http.Client
}

var _ Store = (*Client)(nil)

// KeyBody is the JSON encoding of a key's entry.
type KeyBody struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// LeaseBody is the JSON encoding of a request to acquire or renew a lease.
type LeaseBody struct {
	Holder string `json:"holder"`
	// TTLMS is the time to live of the lease in milliseconds.
	TTLMS int64 `json:"life"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	e, err := c.requestEntry(ctx, http.MethodGet, "/v1/keys/"+url.PathEscape(key), nil, callTimeout)
	if err != nil {
		return e, fmt.Errorf("get key %s: %w", key, err)
	}
	return e, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	path := fmt.Sprintf("/v1/keys/%s?after=%d&wait=%d", url.PathEscape(key), after, wait.Milliseconds())
	e, err := c.requestEntry(ctx, http.MethodGet, path, nil, wait+callTimeout)
	if err != nil {
		return e, fmt.Errorf("watch key %s: %w", key, err)
	}
	return e, nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error) {
	body := KeyBody{Value: value, Revision: revision}
	e, err := c.requestEntry(ctx, http.MethodPut, "/v1/keys/"+url.PathEscape(key), body, callTimeout)
	if err != nil {
		return e, fmt.Errorf("swap key %s at revision %d: %w", key, revision, err)
	}
	return e, nil
}

// Acquire implements Store.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) error {
	body := LeaseBody{Holder: holder, TTLMS: ttl.Milliseconds()}
	_, err := c.call(ctx, http.MethodPut, "/v1/leases/"+url.PathEscape(name), body, callTimeout)
	if err != nil {
		return fmt.Errorf("acquire lease %s: %w", name, err)
	}
	return nil
}

// Release implements Store.
func (c *Client) Release(ctx context.Context, name, holder string) error {
	path := "/v1/leases/" + url.PathEscape(name) + "?holder=" + url.QueryEscape(holder)
	if _, err := c.call(ctx, http.MethodDelete, path, nil, callTimeout); err != nil {
		return fmt.Errorf("release lease %s: %w", name, err)
	}
	return nil
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	text, err := c.call(ctx, http.MethodGet, "/v1/vms", nil, callTimeout)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	vms := []VM{}
	if err := json.Unmarshal(text, &vms); err != nil {
		return nil, fmt.Errorf("decode list of VMs: %w", errors.Join(ErrUnavailable, err))
	}
	return vms, nil
}

// requestEntry makes a call that answers with an entry. A conflict is returned
// together with the entry that caused it.
func (c *Client) requestEntry(ctx context.Context, method, path string, body any, limit time.Duration) (Entry, error) {
	text, err := c.call(ctx, method, path, body, limit)
	if err != nil && !errors.Is(err, ErrConflict) {
		return Entry{}, err
	}
	k := KeyBody{}
	if decodeErr := json.Unmarshal(text, &k); decodeErr != nil {
		return Entry{}, fmt.Errorf("decode entry: %w", errors.Join(ErrUnavailable, decodeErr))
	}
	return NewEntry(k.Value, k.Revision), err
}

// call sends a request with a JSON body and returns the body of the answer,
// with an error if its status is not 200.
func (c *Client) call(ctx context.Context, method, path string, body any, limit time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request body: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	// On a connection that is used again, the copy of an earlier answer is taken for the
	// answer of the call that waits.
	req.Close = true
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", c.Address, errors.Join(ErrUnavailable, err))
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer from %s: %w", c.Address, errors.Join(ErrUnavailable, err))
	}
	return answer, statusError(resp.StatusCode)
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// statusError maps an HTTP status of the service to an error.
func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrAbsent
	case http.StatusConflict:
		return ErrConflict
	default:
		return fmt.Errorf("service answered with status %s: %w", strconv.Itoa(code), ErrUnavailable)
	}
}
