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

// maxAnswer bounds an answer's bytes: a value of a megabyte, encoded.
const maxAnswer = 4 << 20

// callTimeout bounds a call that is no watch.
const callTimeout = 2 * time.Second

// Client speaks to the service over HTTP and JSON. Set the exported fields
// before the first call.
type Client struct {
	// Address is the service's host and port.
	Address string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

var _ Store = (*Client)(nil)

// KeyBody is the JSON of a key's entry.
type KeyBody struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// LeaseBody is the JSON of a lease request. Life is in milliseconds.
type LeaseBody struct {
	Holder string `json:"holder"`
	Life   int64  `json:"life"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	e, err := c.key(ctx, http.MethodGet, "/v1/keys/"+url.PathEscape(key), nil, callTimeout)
	if err != nil {
		return e, fmt.Errorf("get key %s: %w", key, err)
	}
	return e, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	path := fmt.Sprintf("/v1/keys/%s?after=%d&wait=%d", url.PathEscape(key), after, wait.Milliseconds())
	e, err := c.key(ctx, http.MethodGet, path, nil, wait+callTimeout)
	if err != nil {
		return e, fmt.Errorf("watch key %s: %w", key, err)
	}
	return e, nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error) {
	body := KeyBody{Value: value, Revision: revision}
	e, err := c.key(ctx, http.MethodPut, "/v1/keys/"+url.PathEscape(key), body, callTimeout)
	if err != nil {
		return e, fmt.Errorf("swap key %s at revision %d: %w", key, revision, err)
	}
	return e, nil
}

// Acquire implements Store.
func (c *Client) Acquire(ctx context.Context, name, holder string, life time.Duration) error {
	body := LeaseBody{Holder: holder, Life: life.Milliseconds()}
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
		return nil, fmt.Errorf("read list of VMs: %w", errors.Join(ErrUnavailable, err))
	}
	return vms, nil
}

func (c *Client) key(ctx context.Context, method, path string, body any, limit time.Duration) (Entry, error) {
	text, err := c.call(ctx, method, path, body, limit)
	if err != nil && !errors.Is(err, ErrConflict) {
		return Entry{}, err
	}
	k := KeyBody{}
	if bad := json.Unmarshal(text, &k); bad != nil {
		return Entry{}, fmt.Errorf("read entry: %w", errors.Join(ErrUnavailable, bad))
	}
	return NewEntry(k.Value, k.Revision), err
}

func (c *Client) call(ctx context.Context, method, path string, body any, limit time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode body: %w", err)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	a, err := c.client().Do(q)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", c.Address, errors.Join(ErrUnavailable, err))
	}
	defer func() { _ = a.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", c.Address, errors.Join(ErrUnavailable, err))
	}
	return answer, statusError(a.StatusCode)
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrAbsent
	case http.StatusConflict:
		return ErrConflict
	default:
		return fmt.Errorf("answer %s: %w", strconv.Itoa(code), ErrUnavailable)
	}
}
