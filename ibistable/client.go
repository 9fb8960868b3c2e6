package ibistable

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"ibiscrank/ibishttp"
)

// maxConns bounds the connections of one client to the table service.
const maxConns = 16

// Client is an HTTP client of the table service and the object store. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ Table = (*Client)(nil)

// NewClient returns a client of the service at the URL base, for example "http://127.0.0.1:7000". If h is nil,
// the client has its own transport of at most 16 connections, configured by opts; otherwise opts are ignored.
func NewClient(base string, h *http.Client, opts ...ibishttp.Option) *Client {
	if h == nil {
		h = &http.Client{Transport: ibishttp.NewTransport(maxConns, opts...)}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: h}
}

// Get reads one row. It fails with NotFound, Unavailable or, if the service rejects the request, Error.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, PathRow, url.Values{"key": {key}}, &row)
	return row, err
}

// Scan reads at most limit rows with from <= key < to, in order of their keys. It fails with Unavailable or,
// if the service rejects the request, Error.
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

// Commit applies all writes or none and returns the version of the rows written. It fails with Conflict,
// Unavailable, Unknown or, if the service rejects the request, NotFound or Error.
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

// readError returns the error for an unsuccessful reply to a read. It never returns Unknown, since a read
// changes nothing.
func readError(status int, body []byte) error {
	switch {
	case status == http.StatusNotFound:
		return NotFound.New("%s", errorMessage(status, body))
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return Unavailable.New("%s", errorMessage(status, body))
	}
	return Error.New("%s", errorMessage(status, body))
}

// writeError returns the error for an unsuccessful reply to a write. Only the service itself replies with 503
// or 429, before it writes; any other status of 500 or above may come from a proxy after the write took
// effect.
func writeError(status int, body []byte) error {
	msg := errorMessage(status, body)
	switch {
	case status == http.StatusConflict:
		return Conflict.New("%s", msg)
	case status == http.StatusNotFound:
		return NotFound.New("%s", msg)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Unavailable.New("%s", msg)
	case status >= http.StatusInternalServerError:
		return Unknown.New("%s", msg)
	}
	return Error.New("%s", msg)
}

// errorMessage returns the message in an error reply, or describes its HTTP status if it has none.
func errorMessage(status int, body []byte) string {
	var e ErrorReply
	if json.Unmarshal(body, &e) == nil && e.Error != "" {
		return e.Error
	}
	return fmt.Sprintf("reply without an error message: HTTP status %d %s", status, http.StatusText(status))
}
