package ibisserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"ibiscrank/ibishttp"
)

const (
	// maxConns bounds the connections of one client to its server; a long poll occupies one of them.
	maxConns = 4
	// pollMargin is added to a poll's wait for its timeout, when the context has no deadline.
	pollMargin = 5 * time.Second
)

// Client calls one backend server over HTTP with JSON. It is safe for concurrent use.
//
// A call ends with its context at the latest, or after ibishttp.DefaultTimeout when the context has no
// deadline. The connection of a failed call isn't reused.
type Client struct {
	base string
	http *http.Client
}

var _ Server = (*Client)(nil)

// NewClient returns a client of the server at address, an IP address and port. The clean-up closes its idle
// connections.
func NewClient(address string, opts ...ibishttp.Option) (*Client, func()) {
	h := &http.Client{Transport: ibishttp.NewTransport(maxConns, opts...)}
	return &Client{base: "http://" + address, http: h}, h.CloseIdleConnections
}

// Claim makes the caller the owner. The reply's Epoch, Clock and Seq are set with a Fenced error too.
func (c *Client) Claim(ctx context.Context, r ClaimRequest) (ClaimReply, error) {
	var reply ClaimReply
	refusal, err := c.call(ctx, PathClaim, r, &reply)
	if refusal != nil {
		return ClaimReply{Epoch: refusal.Epoch, Clock: refusal.Clock, Seq: refusal.Seq}, err
	}
	return reply, err
}

// Start starts a task. The reply's Clock and Seq are set with a Fenced or Rejected error too, as with Renew,
// Control and Poll.
func (c *Client) Start(ctx context.Context, r StartRequest) (Reply, error) {
	return c.callForReply(ctx, PathStart, r)
}

// Renew renews leases.
func (c *Client) Renew(ctx context.Context, r RenewRequest) (Reply, error) {
	return c.callForReply(ctx, PathRenew, r)
}

// Control applies an action to tasks.
func (c *Client) Control(ctx context.Context, r ControlRequest) (Reply, error) {
	return c.callForReply(ctx, PathControl, r)
}

// Poll waits for changed records. After must be the Seq of the last reply to Poll or Claim: with the Seq of a
// reply to another call, changes may be skipped.
func (c *Client) Poll(ctx context.Context, r PollRequest) (Reply, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.WaitMS)*time.Millisecond+pollMargin)
		defer cancel()
	}
	return c.callForReply(ctx, PathPoll, r)
}

// callForReply makes a call whose reply is a Reply.
func (c *Client) callForReply(ctx context.Context, path string, in any) (Reply, error) {
	var reply Reply
	refusal, err := c.call(ctx, path, in, &reply)
	if refusal != nil {
		return Reply{Clock: refusal.Clock, Seq: refusal.Seq}, err
	}
	return reply, err
}

// call makes one call. A response that is neither a success nor an ErrorReply leaves the outcome unknown: it
// may come from a proxy in between instead of the server. The ErrorReply is nil unless the server refused.
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
	return nil, Unknown.New("%s: HTTP status %d without an error reply", path, r.Status)
}
