package ibisrpc

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

const linkService = "ibiscrank.Link"

// AckTimeout is how long bytes that a server has sent may stay unacknowledged before it takes the connection for silent.
const AckTimeout = 20 * time.Second

// maxLinkStreams limits the streams of a connection. A link has a connection of its own, with one stream.
const maxLinkStreams = 2

const linkMethod = "/" + linkService + "/Open"

// Stream is a bidirectional stream of messages of one type. One goroutine may call Send while another one
// calls Recv.
type Stream[M any] struct {
	s interface {
		SendMsg(any) error
		RecvMsg(any) error
	}
	received *atomic.Int64 // nil at the end that has accepted the link
}

// Received returns the number of bytes that have arrived on the connection of a link that this daemon has opened, those
// of messages that are not complete included.
func (s Stream[M]) Received() int64 {
	if s.received == nil {
		return 0
	}
	return s.received.Load()
}

// countingConn counts the bytes that it reads.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// Send sends m; it blocks under flow control while the peer does not read.
func (s Stream[M]) Send(m *M) error { return Error.Wrap(s.s.SendMsg(m)) }

// Recv waits for the next message and returns it.
func (s Stream[M]) Recv() (*M, error) {
	m := new(M)
	if err := s.s.RecvMsg(m); err != nil {
		return nil, Error.Wrap(err)
	}
	return m, nil
}

// NewLinkServer returns a server of links, which are streams with a connection of their own. It calls serve for
// each link; the link ends when serve returns. Messages and bytes are counted in r.
func NewLinkServer[M any](r metrics.Registry, serve func(ctx context.Context, s Stream[M]) error) *grpc.Server {
	srv := grpc.NewServer(grpc.StatsHandler(newLinkMeter(r)), grpc.MaxConcurrentStreams(maxLinkStreams), grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxSendMsgSize(MaxMessageBytes))
	srv.RegisterService(&grpc.ServiceDesc{ServiceName: linkService, HandlerType: (*any)(nil), Streams: []grpc.StreamDesc{{
		StreamName: "Open", ServerStreams: true, ClientStreams: true,
		Handler: func(_ any, s grpc.ServerStream) error { return serve(s.Context(), Stream[M]{s: s}) },
	}}}, struct{}{})
	return srv
}

// OpenLink opens a link to the daemon at address. If that fails or takes longer than timeout, the error is of
// class Unknown; an address that cannot be parsed gives one of class Error. The second result closes the stream
// and its connection. Messages and bytes are counted in r.
func OpenLink[M any](ctx context.Context, r metrics.Registry, address string, timeout time.Duration) (Stream[M], func(), error) {
	received := new(atomic.Int64)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, received}, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithContextDialer(dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(newLinkMeter(r)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: timeout}),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
	if err != nil {
		return Stream[M]{}, nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	closeLink := func() { cancel(); cc.Close() }
	timer := time.AfterFunc(timeout, cancel)
	s, err := cc.NewStream(ctx, &grpc.StreamDesc{StreamName: "Open", ServerStreams: true, ClientStreams: true}, linkMethod)
	if err != nil || !timer.Stop() {
		closeLink()
		return Stream[M]{}, nil, Unknown.New("open link to %s: %v", address, err)
	}
	return Stream[M]{s, received}, closeLink, nil
}
