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

// Times of the supervision of connections.
const (
	PingInterval = 300 * time.Millisecond
	PingTimeout  = 1 * time.Second
	RecentUse    = 5 * time.Second // a connection without calls is pinged this long after the last one
	IdleTimeout  = 2 * time.Minute
)

// Pool holds one connection to each daemon. A connection on which calls are outstanding is pinged, and
// replaced when a ping is not answered: its calls end with class Unknown.
type Pool struct {
	mu     sync.Mutex
	conns  map[string]*conn
	closed bool
	stats  grpc.DialOption
}

type conn struct {
	cc       *grpc.ClientConn
	calls    atomic.Int64
	lastUsed atomic.Int64 // Unix nanoseconds
	heard    atomic.Int64 // Unix nanoseconds of the last reply
	cancel   context.CancelFunc
}

func (c *conn) done() {
	c.lastUsed.Store(time.Now().UnixNano())
	c.calls.Add(-1)
}

// NewPool makes an empty pool that counts its calls in r; the second result closes all of its connections.
func NewPool(r metrics.Registry) (*Pool, func()) {
	p := &Pool{conns: make(map[string]*conn), stats: grpc.WithStatsHandler(meter{"RpcOut", r})}
	return p, p.close
}

func (p *Pool) conn(address string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, Error.New("pool is closed")
	}
	c, ok := p.conns[address]
	if !ok {
		var err error
		if c, err = p.dial(address); err != nil {
			return nil, err
		}
		p.conns[address] = c
	}
	c.calls.Add(1)
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

// supervise pings c when nothing has been heard on it for a while, also for some time after its last call,
// so that the next call does not have to find out that it is silent; it drops c when it is silent or long
// unused. Other calls count as pings, so heartbeats save them.
func (p *Pool) supervise(ctx context.Context, address string, c *conn) {
	tick := time.NewTicker(PingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		unused := time.Since(time.Unix(0, c.lastUsed.Load()))
		switch {
		case c.calls.Load() == 0 && unused > IdleTimeout:
			p.drop(address, c)
			return
		case c.calls.Load() == 0 && unused > RecentUse, time.Since(time.Unix(0, c.heard.Load())) < PingInterval:
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

// drop closes c and forgets it, so that the next call makes a new connection.
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
