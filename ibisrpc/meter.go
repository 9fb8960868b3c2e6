package ibisrpc

import (
	"context"
	"strings"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// meter is a gRPC stats handler that counts calls and bytes per method, in counters named
// PREFIX+METHOD+Calls, BytesIn or BytesOut, such as RpcOutPlaceCalls.
type meter struct {
	prefix   string // RpcOut for clients, RpcIn for servers
	registry metrics.Registry
}

type methodKey struct{}

func (m meter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	name := info.FullMethodName[strings.LastIndexByte(info.FullMethodName, '/')+1:]
	return context.WithValue(ctx, methodKey{}, name)
}

func (m meter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	name, _ := ctx.Value(methodKey{}).(string)
	switch s := s.(type) {
	case *stats.Begin:
		m.add(name, "Calls", 1)
	case *stats.InPayload:
		m.add(name, "BytesIn", s.WireLength)
	case *stats.OutPayload:
		m.add(name, "BytesOut", s.WireLength)
	}
}

func (m meter) add(method, counter string, n int) {
	metrics.GetOrRegisterCounter(m.prefix+method+counter, m.registry).Inc(int64(n))
}

func (m meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (m meter) HandleConn(context.Context, stats.ConnStats) {}

// linkMeter is a gRPC stats handler that counts the messages of links and their bytes, in the counters CallsLink,
// BytesOutLink and BytesInLink.
type linkMeter struct {
	messages, out, in metrics.Counter
}

func newLinkMeter(r metrics.Registry) linkMeter {
	return linkMeter{
		messages: metrics.GetOrRegisterCounter("CallsLink", r),
		out:      metrics.GetOrRegisterCounter("BytesOutLink", r),
		in:       metrics.GetOrRegisterCounter("BytesInLink", r),
	}
}

func (m linkMeter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (m linkMeter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.InPayload:
		m.in.Inc(int64(s.WireLength))
	case *stats.OutPayload:
		m.messages.Inc(1)
		m.out.Inc(int64(s.WireLength))
	}
}

func (m linkMeter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (m linkMeter) HandleConn(context.Context, stats.ConnStats) {}
