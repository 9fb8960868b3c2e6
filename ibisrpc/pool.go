package ibisrpc

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

// Intervals and timeouts of connection health checks.
const (
	PingInterval   = 300 * time.Millisecond
	PingTimeout    = 1 * time.Second
	IdlePingWindow = 5 * time.Second // how long after its last call an idle connection is still pinged
	IdleTimeout    = 2 * time.Minute // after which an idle connection is closed
)

// Pool holds one connection to each daemon. A connection with outstanding or recent calls is pinged, and closed
// when a ping fails: its outstanding calls end with class Unknown, and the next call opens a new connection.
type Pool struct {
	mu     sync.Mutex
	conns  map[string]*conn
	closed bool
	stats  grpc.DialOption
}

type conn struct {
	cc          *grpc.ClientConn
	outstanding atomic.Int64 // calls without a reply yet
	lastUsed    atomic.Int64 // end of the last call, or creation, in Unix nanoseconds
	lastReply   atomic.Int64 // last reply to a call other than a ping, in Unix nanoseconds
	cancel      context.CancelFunc
}

// release ends one call on c.
func (c *conn) release() {
	c.lastUsed.Store(time.Now().UnixNano())
	c.outstanding.Add(-1)
}

// NewPool returns an empty pool that counts its calls in r, and a function that closes the pool and all of
// its connections.
func NewPool(r metrics.Registry) (*Pool, func()) {
	p := &Pool{conns: make(map[string]*conn), stats: grpc.WithStatsHandler(meter{"RpcOut", r})}
	return p, p.close
}

// acquire returns the connection to address and counts one more call on it; the caller releases it.
func (p *Pool) acquire(address string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, Error.New("connection pool is closed")
	}
	c, ok := p.conns[address]
	if !ok {
		var err error
		if c, err = p.dial(address); err != nil {
			return nil, err
		}
		p.conns[address] = c
	}
	c.outstanding.Add(1)
	return c, nil
}

func (p *Pool) dial(address string) (*conn, error) {
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: PingTimeout,
		}),
		grpc.WithNoProxy(),
		p.stats,
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{cc: cc, cancel: cancel}
	c.lastUsed.Store(time.Now().UnixNano())
	go p.supervise(ctx, address, c)
	return c, nil
}

// supervise pings c when no call on it has got a reply for PingInterval. It does so until IdlePingWindow after
// the last call, so that the next call does not run into a silent connection. It drops c when a ping fails or
// after IdleTimeout without calls. A connection that carries frequent calls, such as heartbeats, is not pinged.
func (p *Pool) supervise(ctx context.Context, address string, c *conn) {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		idle := time.Since(time.Unix(0, c.lastUsed.Load()))
		switch {
		case c.outstanding.Load() == 0 && idle > IdleTimeout:
			p.drop(address, c)
			return
		case c.outstanding.Load() == 0 && idle > IdlePingWindow, time.Since(time.Unix(0, c.lastReply.Load())) < PingInterval:
			continue
		}
		pingCtx, cancel := context.WithTimeout(ctx, PingTimeout)
		err := c.cc.Invoke(pingCtx, "/"+serviceName+"/Ping", &ping{}, new(envelope[ping]))
		cancel()
		if err != nil && ctx.Err() == nil {
			log.WithFields(log.Fields{"peer": address, "error": err}).Warn("ConnectionReplaced")
			p.drop(address, c)
			return
		}
	}
}

// drop closes c and removes it from the pool, so that the next call opens a new connection.
func (p *Pool) drop(address string, c *conn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	c.cancel()
	c.cc.Close()
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		c.cancel()
		c.cc.Close()
	}
	p.conns = nil
}
