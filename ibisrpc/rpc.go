// Package ibisrpc implements typed calls and streams between daemons over gRPC with CBOR messages. Package
// ibiswire defines most of the messages.
//
// A method is a Go function from a request to a reply. A *ibiswork.Refusal is transmitted with all its fields;
// any other error of the method arrives as class Failed. A call without a reply ends with class Unknown: it may
// or may not have taken effect.
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
	// Error is the class of all other errors of this package.
	Error = errs.Class("rpc")
	// Failed means that the peer answered the call with an error that is not a refusal.
	Failed = errs.Class("rpc failed")
	// Unknown means that no reply arrived; the call may have taken effect.
	Unknown = errs.Class("rpc outcome unknown")
)

// MaxMessageBytes limits the size of one message; it has room for a payload and a batch of results.
const MaxMessageBytes = 64 << 20

const serviceName = "ibiscrank.Daemon"

// envelope is the message of a reply; one of its fields is set.
type envelope[T any] struct {
	Value   *T                `json:"Value,omitempty"`
	Refusal *ibiswork.Refusal `json:"Refusal,omitempty"`
}

// ping is an empty message; a reply to it shows that the connection works.
type ping struct{}

// Unary returns a gRPC method that calls fn.
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

// NewServer returns a server for the methods and for the pings of Pool. It counts its calls in r.
func NewServer(r metrics.Registry, methods ...grpc.MethodDesc) *grpc.Server {
	s := grpc.NewServer(grpc.StatsHandler(meter{"RpcIn", r}), grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxSendMsgSize(MaxMessageBytes))
	methods = append(methods, Unary("Ping", func(context.Context, *ping) (*ping, error) { return &ping{}, nil }))
	s.RegisterService(&grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil), Methods: methods}, struct{}{})
	return s
}

// Call sends req to the daemon at address and waits for its reply. Errors are a *ibiswork.Refusal, or of class
// Failed, Unknown or Error.
func Call[Reply any](ctx context.Context, p *Pool, address, method string, req any) (*Reply, error) {
	c, err := p.acquire(address)
	if err != nil {
		return nil, err
	}
	defer c.release()
	env := new(envelope[Reply])
	if err := c.cc.Invoke(ctx, "/"+serviceName+"/"+method, req, env); err != nil {
		return nil, classify(method, err)
	}
	c.lastReply.Store(time.Now().UnixNano())
	if env.Refusal != nil {
		return nil, env.Refusal
	}
	if env.Value == nil {
		return nil, Failed.New("%s: the reply has neither a value nor a refusal", method)
	}
	return env.Value, nil
}

// classify returns err as Failed if the status code shows that the peer answered, or else as Unknown.
func classify(method string, err error) error {
	switch status.Code(err) {
	case codes.Aborted, codes.InvalidArgument, codes.Unimplemented:
		return Failed.New("%s: %v", method, err)
	}
	return Unknown.New("%s: %v", method, err)
}
