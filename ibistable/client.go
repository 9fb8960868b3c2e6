package ibistable

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"ibiscrank/ibishttp"
)

// maxConns bounds the connections of one client to the table service.
const maxConns = 16

// Client speaks to the table service and the object store over HTTP with JSON. It is safe for use by
// several goroutines.
type Client struct {
	base string
	http *http.Client
}

var _ Table = (*Client)(nil)

// NewClient makes a client of the service at base, for example "http://127.0.0.1:7000". A nil h stands
// for a client of its own with few connections, to which the options apply.
func NewClient(base string, h *http.Client, opts ...ibishttp.Option) *Client {
	if h == nil {
		h = &http.Client{Transport: ibishttp.NewTransport(maxConns, opts...)}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: h}
}

// Get reads one row. It fails with NotFound or Unavailable.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, PathRow, url.Values{"key": {key}}, &row)
	return row, err
}

// Scan reads rows by key range. It fails with Unavailable.
func (c *Client) Scan(ctx context.Context, from, to string, limit int) ([]Row, error) {
	var reply ScanReply
	q := url.Values{"from": {from}, "to": {to}, "limit": {strconv.Itoa(limit)}}
	err := c.read(ctx, PathRows, q, &reply)
	return reply.Rows, err
}

func (c *Client) read(ctx context.Context, path string, q url.Values, out any) error {
	r, err := ibishttp.Call(ctx, c.http, http.MethodGet, c.base+path+"?"+q.Encode(), nil)
	if err != nil {
		return Unavailable.Wrap(err)
	}
	if r.Status != http.StatusOK {
		return readError(r.Status, r.Body)
	}
	if err := json.Unmarshal(r.Body, out); err != nil {
		return Unavailable.Wrap(err)
	}
	return nil
}

// Commit applies all writes or none. It fails with Conflict, Unavailable or Unknown.
func (c *Client) Commit(ctx context.Context, writes ...Write) (int64, error) {
	r, err := ibishttp.Call(ctx, c.http, http.MethodPost, c.base+PathCommit, CommitRequest{Writes: writes})
	switch {
	case err != nil && !r.Sent:
		return 0, Unavailable.Wrap(err)
	case err != nil:
		return 0, Unknown.Wrap(err)
	case r.Status != http.StatusOK:
		return 0, writeError(r.Status, r.Body)
	}
	var reply CommitReply
	if err := json.Unmarshal(r.Body, &reply); err != nil {
		return 0, Unknown.Wrap(err)
	}
	return reply.Version, nil
}

// readError turns the answer to a read into an error; a read has no outcome that could be unknown.
func readError(status int, body []byte) error {
	switch {
	case status == http.StatusNotFound:
		return NotFound.New("%s", message(status, body))
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return Unavailable.New("%s", message(status, body))
	}
	return Error.New("%s", message(status, body))
}

// writeError turns the answer to a write into an error. Only the service itself answers 503 or 429; any
// other answer from 500 may come from something in between, after the write took effect.
func writeError(status int, body []byte) error {
	text := message(status, body)
	switch {
	case status == http.StatusConflict:
		return Conflict.New("%s", text)
	case status == http.StatusNotFound:
		return NotFound.New("%s", text)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Unavailable.New("%s", text)
	case status >= http.StatusInternalServerError:
		return Unknown.New("%s", text)
	}
	return Error.New("%s", text)
}

func message(status int, body []byte) string {
	var e ErrorReply
	if json.Unmarshal(body, &e) == nil && e.Error != "" {
		return e.Error
	}
	return http.StatusText(status)
}
