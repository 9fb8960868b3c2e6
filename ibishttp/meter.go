package ibishttp

import (
	"context"
	"net"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// Meter counts dials, and the bytes that pass the sockets of its connections.
type Meter struct {
	in, out, dials metrics.Counter
}

// NewMeter returns a meter with the counters NAMEBytesIn, NAMEBytesOut and NAMEDials in r.
func NewMeter(name string, r metrics.Registry) *Meter {
	return &Meter{
		in:    metrics.GetOrRegisterCounter(name+"BytesIn", r),
		out:   metrics.GetOrRegisterCounter(name+"BytesOut", r),
		dials: metrics.GetOrRegisterCounter(name+"Dials", r),
	}
}

// Option configures a transport.
type Option func(*http.Transport)

// WithMeter counts the transport's dials and the bytes of its connections in m.
func WithMeter(m *Meter) Option {
	return func(t *http.Transport) {
		dial := t.DialContext
		t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			m.dials.Inc(1)
			return &meteredConn{Conn: c, m: m}, nil
		}
	}
}

// meteredConn counts the bytes of one connection.
type meteredConn struct {
	net.Conn
	m *Meter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Inc(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Inc(int64(n))
	return n, err
}
