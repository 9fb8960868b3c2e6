// Package ibisrpc carries typed calls between daemons over gRPC with CBOR messages.
//
// A method is a Go function from a request to a reply. A refusal crosses the wire whole; any other error
// arrives as class Failed. A call without a reply is of class Unknown: it may have taken effect.
//
// Usage:
//
//	srv := ibisrpc.NewServer(registry, ibisrpc.Unary("Place", owner.Place))
//	go srv.Serve(listener)
//
//	pool, stop := ibisrpc.NewPool(registry)
//	defer stop()
//	reply, err := ibisrpc.Call[PlaceReply](ctx, pool, "10.0.0.3:7100", "Place", req)
package ibisrpc

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ibiscrank/ibiswork"
)

// Error classes of calls between daemons.
var (
	// Error is the class of errors of this package that no other class names.
	Error = errs.Class("rpc")
	// Failed says that the other daemon ran the call and returned an error.
	Failed = errs.Class("rpc failed")
	// Unknown says that no reply came; the call may have taken effect.
	Unknown = errs.Class("rpc outcome unknown")
)

// MaxMessageBytes bounds one message; it leaves room for a payload and a batch of results.
const MaxMessageBytes = 64 << 20

const serviceName = "ibiscrank.Daemon"

// envelope carries a reply or a refusal.
type envelope[T any] struct {
	Value   *T                `json:"Value,omitempty"`
	Refusal *ibiswork.Refusal `json:"Refusal,omitempty"`
}

// ping asks for nothing; its reply shows that the connection carries calls.
type ping struct{}

// Unary makes a method of fn.
func Unary[Req, Reply any](name string, fn func(context.Context, *Req) (*Reply, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			req := new(Req)
			if err := decode(req); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
			reply, err := fn(ctx, req)
			if err == nil {
				return &envelope[Reply]{Value: reply}, nil
			}
			if r, ok := errors.AsType[*ibiswork.Refusal](err); ok {
				return &envelope[Reply]{Refusal: r}, nil
			}
			return nil, status.Error(codes.Aborted, err.Error())
		},
	}
}

// NewServer serves the methods and the ping that Pool sends, and counts the calls in r.
func NewServer(r metrics.Registry, methods ...grpc.MethodDesc) *grpc.Server {
	s := grpc.NewServer(grpc.StatsHandler(meter{"RpcIn", r}), grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxSendMsgSize(MaxMessageBytes))
	methods = append(methods, Unary("Ping", func(context.Context, *ping) (*ping, error) { return &ping{}, nil }))
	s.RegisterService(&grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil), Methods: methods}, struct{}{})
	return s
}

// Call sends req to the daemon at address and waits for its reply.
func Call[Reply any](ctx context.Context, p *Pool, address, method string, req any) (*Reply, error) {
	c, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	defer c.done()
	env := new(envelope[Reply])
	if err := c.cc.Invoke(ctx, "/"+serviceName+"/"+method, req, env); err != nil {
		return nil, classify(method, err)
	}
	c.heard.Store(time.Now().UnixNano())
	if env.Refusal != nil {
		return nil, env.Refusal
	}
	if env.Value == nil {
		return nil, Failed.New("%s: empty reply", method)
	}
	return env.Value, nil
}

func classify(method string, err error) error {
	switch status.Code(err) {
	case codes.Aborted, codes.InvalidArgument, codes.Unimplemented:
		return Failed.New("%s: %v", method, err)
	}
	return Unknown.New("%s: %v", method, err)
}
