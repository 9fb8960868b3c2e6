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
