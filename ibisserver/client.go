package ibisserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"ibiscrank/ibishttp"
)

const (
	// maxConns bounds the connections of one client to its server; a poll holds one of them.
	maxConns = 4
	// pollMargin is how much longer than its wait a poll without a deadline may take.
	pollMargin = 5 * time.Second
)

// Client speaks to one backend server over HTTP with JSON. It is safe for use by several goroutines.
//
// A call ends with its context at the latest, and after ibishttp.DefaultTimeout when the context has no
// deadline. A call that failed leaves no connection behind for later calls.
type Client struct {
	base string
	http *http.Client
}

var _ Server = (*Client)(nil)

// NewClient makes a client of the server at address, an IP number and port. The clean-up closes its idle
// connections.
func NewClient(address string, opts ...ibishttp.Option) (*Client, func()) {
	h := &http.Client{Transport: ibishttp.NewTransport(maxConns, opts...)}
	return &Client{base: "http://" + address, http: h}, h.CloseIdleConnections
}

// Claim makes the caller the owner. The reply's Epoch and Clock are filled also with a Fenced error.
func (c *Client) Claim(ctx context.Context, r ClaimRequest) (ClaimReply, error) {
	var reply ClaimReply
	refusal, err := c.call(ctx, PathClaim, r, &reply)
	if refusal != nil {
		return ClaimReply{Epoch: refusal.Epoch, Clock: refusal.Clock, Seq: refusal.Seq}, err
	}
	return reply, err
}

// Start starts a task. As with the other calls, the reply's Clock is filled also with a Fenced or
// Rejected error.
func (c *Client) Start(ctx context.Context, r StartRequest) (Reply, error) {
	return c.plain(ctx, PathStart, r)
}

// Renew extends leases.
func (c *Client) Renew(ctx context.Context, r RenewRequest) (Reply, error) {
	return c.plain(ctx, PathRenew, r)
}

// Control applies an action to tasks.
func (c *Client) Control(ctx context.Context, r ControlRequest) (Reply, error) {
	return c.plain(ctx, PathControl, r)
}

// Poll waits for changed records. Only the Seq of a Poll or a Claim is fit to be the next After.
func (c *Client) Poll(ctx context.Context, r PollRequest) (Reply, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.WaitMS)*time.Millisecond+pollMargin)
		defer cancel()
	}
	return c.plain(ctx, PathPoll, r)
}

func (c *Client) plain(ctx context.Context, path string, in any) (Reply, error) {
	var reply Reply
	refusal, err := c.call(ctx, path, in, &reply)
	if refusal != nil {
		return Reply{Clock: refusal.Clock, Seq: refusal.Seq}, err
	}
	return reply, err
}

// call makes one call. An answer that is neither a success nor a refusal by the server itself leaves the
// outcome unknown, since something in between may have given it.
func (c *Client) call(ctx context.Context, path string, in, out any) (*ErrorReply, error) {
	r, err := ibishttp.Call(ctx, c.http, http.MethodPost, c.base+path, in)
	switch {
	case err != nil && !r.Sent:
		return nil, Unreachable.Wrap(err)
	case err != nil:
		return nil, Unknown.Wrap(err)
	case r.Status == http.StatusOK:
		if err := json.Unmarshal(r.Body, out); err != nil {
			return nil, Unknown.Wrap(err)
		}
		return nil, nil
	}
	var refusal ErrorReply
	if json.Unmarshal(r.Body, &refusal) == nil {
		if err := refusal.Err(); err != nil {
			return &refusal, err
		}
	}
	return nil, Unknown.New("HTTP status %d", r.Status)
}
