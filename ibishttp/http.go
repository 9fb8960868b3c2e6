// Package ibishttp holds what the project's HTTP+JSON clients and handlers have in common: a bounded
// transport that recovers from silent connections, and reading and writing of JSON bodies.
//
// Usage:
//
//	c := &http.Client{Transport: ibishttp.NewTransport(4)}
//	r, err := ibishttp.Call(ctx, c, http.MethodPost, "http://127.0.0.1:9000/claim", req)
//	if err != nil && !r.Sent {
//		// nothing was sent
//	}
package ibishttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("http")

// Bounds of connections and bodies.
const (
	DefaultTimeout = 10 * time.Second // of a call whose context has no deadline
	MaxBodyBytes   = 64 << 20

	dialTimeout = 2 * time.Second
	idleTimeout = 15 * time.Second
)

// NewTransport opens at most conns connections to each address and closes idle ones after a while.
func NewTransport(conns int, opts ...Option) *http.Transport {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Reply is what came of a call. Sent is false only when no byte of the request can have left.
type Reply struct {
	Sent   bool
	Status int
	Body   []byte
}

// Do sends req and returns the response, whose body the caller closes, and whether any byte can have
// been sent. After a failure that its caller did not ask for, the idle connections are closed, since
// whatever silenced one connection may have silenced them all.
func Do(c *http.Client, req *http.Request) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := c.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		dropIdle(c, err)
		return nil, sent.Load(), Error.Wrap(err)
	}
	return resp, true, nil
}

func dropIdle(c *http.Client, err error) {
	if !errors.Is(err, context.Canceled) {
		c.CloseIdleConnections()
	}
}

// Call sends in as JSON, or no body when in is nil, and reads the whole reply.
func Call(ctx context.Context, c *http.Client, method, url string, in any) (Reply, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return Reply{}, Error.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return Reply{}, Error.Wrap(err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, sent, err := Do(c, req)
	if err != nil {
		return Reply{Sent: sent}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err == nil && len(b) > MaxBodyBytes {
		err = Error.New("reply longer than %d bytes", MaxBodyBytes)
	}
	if err != nil {
		dropIdle(c, err)
		return Reply{Sent: true, Status: resp.StatusCode}, Error.Wrap(err)
	}
	return Reply{Sent: true, Status: resp.StatusCode, Body: b}, nil
}

// ReadJSON decodes a bounded request body into v.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	return Error.Wrap(d.Decode(v))
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}
