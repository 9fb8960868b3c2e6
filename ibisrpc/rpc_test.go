package ibisrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiswork"
)

type number struct {
	N int `json:"N"`
}

func newTestPool(t *testing.T) *Pool {
	t.Helper()
	p, stop := NewPool(metrics.NewRegistry())
	t.Cleanup(stop)
	return p
}

// serve serves fn on l as the method "Do".
func serve(t *testing.T, l net.Listener, fn func(context.Context, *number) (*number, error)) {
	t.Helper()
	srv := NewServer(metrics.NewRegistry(), Unary("Do", fn))
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func TestCall(t *testing.T) {
	refusal := &ibiswork.Refusal{Code: ibiswork.CodeOverloaded, Message: "full", NotRun: true, RetryAfterMS: 7}
	maybe := &ibiswork.Refusal{Code: ibiswork.CodeUnreachable, Message: "gone"}
	l := listen(t)
	serve(t, l, func(_ context.Context, n *number) (*number, error) {
		switch n.N {
		case 1:
			return nil, refusal
		case 2:
			return nil, Error.Wrap(maybe)
		case 3:
			return nil, Error.New("method error")
		case 4:
			return nil, nil
		}
		return &number{N: n.N + 1}, nil
	})
	p := newTestPool(t)
	call := func(n int, method string) (*number, error) {
		return Call[number](t.Context(), p, l.Addr().String(), method, &number{N: n})
	}
	got, err := call(10, "Do")
	assert.NilError(t, err)
	assert.Equal(t, got.N, 11)
	_, err = call(1, "Do")
	assert.DeepEqual(t, ibiswork.AsRefusal(err), refusal)
	_, err = call(2, "Do")
	assert.DeepEqual(t, ibiswork.AsRefusal(err), maybe)
	for n, method := range map[int]string{3: "Do", 4: "Do", 5: "NoSuchMethod"} {
		_, err = call(n, method)
		assert.Assert(t, Failed.Has(err) && !Unknown.Has(err), "%d: %v", n, err)
	}
}

func TestCallWithoutReplyIsUnknown(t *testing.T) {
	started := make(chan struct{})
	l := listen(t)
	serve(t, l, func(ctx context.Context, _ *number) (*number, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	p := newTestPool(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := Call[number](ctx, p, l.Addr().String(), "Do", &number{})
	assert.Assert(t, Unknown.Has(err), err)
	closed := listen(t)
	assert.NilError(t, closed.Close())
	_, err = Call[number](t.Context(), p, closed.Addr().String(), "Do", &number{})
	assert.Assert(t, Unknown.Has(err), err)
}

// silenceableConn is a connection that stays open but discards all writes once silent is closed.
type silenceableConn struct {
	net.Conn
	silent <-chan struct{}
}

func (c *silenceableConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// silencingListener wraps the first connection that it accepts in a silenceableConn.
type silencingListener struct {
	net.Listener
	silent   chan struct{}
	accepted int
}

func (l *silencingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.accepted++
	if err != nil || l.accepted > 1 {
		return c, err
	}
	return &silenceableConn{Conn: c, silent: l.silent}, nil
}

// TestSilentConnectionIsReplaced checks that a call on a connection that is open but silent ends with class
// Unknown before its own deadline, and that the next call uses a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	l := &silencingListener{Listener: listen(t), silent: make(chan struct{})}
	serve(t, l, func(_ context.Context, n *number) (*number, error) { return n, nil })
	p := newTestPool(t)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := Call[number](ctx, p, l.Addr().String(), "Do", &number{N: 1})
		if ctx.Err() != nil {
			t.Error("the call did not end before its deadline")
		}
		return err
	}
	assert.NilError(t, call())
	close(l.silent)
	assert.Assert(t, Unknown.Has(call()))
	assert.NilError(t, call())
}
