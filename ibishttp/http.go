// Package ibishttp has the common parts of HTTP+JSON clients and servers: a transport with a limited number
// of connections that recovers from silent ones, JSON bodies of limited size, byte counters, and draining of
// a server's connections. Packages ibisclient, ibisserver and ibistable build on it.
//
// Usage:
//
//	c := &http.Client{Transport: ibishttp.NewTransport(4)}
//	r, err := ibishttp.Call(ctx, c, http.MethodPost, "http://127.0.0.1:9000/claim", req)
//	if err != nil && !r.Sent {
//		// no byte was sent: the request can safely be sent again
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

// Timeouts and limits of connections and bodies.
const (
	DefaultTimeout = 10 * time.Second // of a Call whose context has no deadline
	MaxBodyBytes   = 64 << 20

	dialTimeout = 2 * time.Second
	idleTimeout = 15 * time.Second
)

// NewTransport returns a transport that opens at most conns connections to each address and closes connections
// that have been idle for 15 seconds.
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

// Reply is the result of a call. Sent is false only if no byte of the request can have been sent.
type Reply struct {
	Sent   bool
	Status int
	Body   []byte
}

// Do sends req and returns the response, whose body the caller must close, and whether any byte of the request
// can have been sent. After a failure other than cancellation by the caller, it closes all idle connections:
// the fault that silenced one connection may have silenced all of them.
func Do(c *http.Client, req *http.Request) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := c.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		closeIdle(c, err)
		return nil, sent.Load(), Error.Wrap(err)
	}
	return resp, true, nil
}

// closeIdle closes the idle connections of c unless err is a cancellation by the caller.
func closeIdle(c *http.Client, err error) {
	if !errors.Is(err, context.Canceled) {
		c.CloseIdleConnections()
	}
}

// Call sends in as JSON, or no body if in is nil, and reads the whole response, of at most MaxBodyBytes.
// It does not check the HTTP status.
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
		err = Error.New("response body is longer than %d bytes", MaxBodyBytes)
	}
	if err != nil {
		closeIdle(c, err)
		return Reply{Sent: true, Status: resp.StatusCode}, Error.Wrap(err)
	}
	return Reply{Sent: true, Status: resp.StatusCode, Body: b}, nil
}

// ReadJSON decodes a request body of at most MaxBodyBytes into v.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	return Error.Wrap(d.Decode(v))
}

// WriteJSON writes v as a JSON response with the given HTTP status.
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
