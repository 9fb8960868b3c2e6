package ibisdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"

	"ibiscrank/ibischart"
	"ibiscrank/ibisgate"
	"ibiscrank/ibishttp"
	"ibiscrank/ibislimit"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibiswire"
)

// Timeouts of HTTP connections and of the shutdown.
const (
	readHeaderTimeout   = 10 * time.Second
	idleTimeout         = 2 * time.Minute
	handoffPollInterval = 50 * time.Millisecond
	revokedDrainTimeout = 8 * time.Second
	closeTimeout        = 2 * time.Second
	idleDrainTimeout    = 1 * time.Second // of closeTimeout, for connections without a request
)

// Limits of connections.
const (
	maxHeaderBytes  = 64 << 10
	bodyTimeout     = time.Minute      // for a request's body to arrive
	callerConnShare = 0.5              // of the process's file descriptors, for connections of callers and operators
	maxCallerConns  = 20_000           // twice as many as there may be requests in progress
	newPeerShare    = 0.1              // of the descriptors, for connections on which no daemon has made a call yet
	newPeerBytes    = 64 << 20         // read from these connections, in all
	newPeerTimeout  = 10 * time.Second // until the first call on one of them has been read
)

// frontend serves the HTTP interface for callers and operators and the gRPC interface for other daemons.
type frontend struct {
	node  *node
	gate  *ibisgate.Gate
	http  *http.Server
	conns ibishttp.Drain
	rpc   *grpc.Server
	drain ibischart.Machine

	peers *ibislimit.Listener // set by start
}

func newFrontend(lc fx.Lifecycle, n *node) (*frontend, error) {
	f := &frontend{node: n, drain: ibischart.New(ibischart.Drain)}
	f.gate = ibisgate.New(n.router, n.config, admission{lifecycle: n.lifecycle, hasContact: n.hasContact},
		ibisgate.WithMaxBodyBytes(n.settings.MaxBodyBytes), ibisgate.WithRegistry(n.registry), ibisgate.WithIDs(n.router.NewID),
		ibisgate.WithDuplicateWindow(time.Duration(n.settings.DuplicateWindowMS)*time.Millisecond))
	router := mux.NewRouter()
	f.gate.Register(router)
	router.HandleFunc("/v1/metrics", n.metrics).Methods(http.MethodGet)
	if err := n.registerAdmin(router); err != nil {
		return nil, Error.Wrap(err)
	}
	f.http = &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	f.conns.Attach(f.http)
	ibislimit.Track(f.http, bodyTimeout)
	methods := n.methods()
	for i, m := range methods {
		methods[i] = f.markPeer(m)
	}
	f.rpc = ibisrpc.NewServer(n.registry, methods...)
	lc.Append(fx.Hook{OnStart: f.start, OnStop: f.stop})
	return f, nil
}

// methods lists the gRPC methods that other daemons may call.
func (n *node) methods() []grpc.MethodDesc {
	return []grpc.MethodDesc{
		ibisrpc.Unary(ibiswire.MethodHeartbeat, n.peers.Heartbeat),
		ibisrpc.Unary(ibiswire.MethodSubmit, n.holder.Submit),
		ibisrpc.Unary(ibiswire.MethodStatus, n.holder.Status),
		ibisrpc.Unary(ibiswire.MethodCancel, n.holder.Cancel),
		ibisrpc.Unary(ibiswire.MethodCancelQueue, n.holder.CancelQueue),
		ibisrpc.Unary(ibiswire.MethodReport, n.holder.Report),
		ibisrpc.Unary(ibiswire.MethodPlace, n.owner.Place),
		ibisrpc.Unary(ibiswire.MethodStart, n.owner.Start),
		ibisrpc.Unary(ibiswire.MethodRelease, n.owner.Release),
		ibisrpc.Unary(ibiswire.MethodLocate, n.owner.Locate),
		ibisrpc.Unary(ibiswire.MethodServers, n.owner.Servers),
		ibisrpc.Unary(ibiswire.MethodSettle, n.settle),
		ibisrpc.Unary(ibiswire.MethodShardsMoved, n.holder.ShardsMoved),
		ibisrpc.Unary(ibiswire.MethodSnapshot, n.snapshot),
		ibisrpc.Unary(ibiswire.MethodBurn, n.burnCounts),
	}
}

func (f *frontend) start(context.Context) error {
	peerListener, err := net.Listen("tcp", f.node.settings.PeerListen)
	if err != nil {
		return Error.Wrap(err)
	}
	httpListener, err := net.Listen("tcp", f.node.settings.Listen)
	if err != nil {
		peerListener.Close()
		return Error.Wrap(err)
	}
	httpLimits, peerLimits := connLimits(ibislimit.NewRecorder(log.Log, f.node.registry))
	f.peers = ibislimit.NewListener(peerListener, peerLimits)
	go func() {
		if err := f.rpc.Serve(f.peers); err != nil {
			log.WithField("error", err).Error("PeerListenerEnded")
		}
	}()
	go func() {
		if err := f.http.Serve(ibislimit.NewListener(httpListener, httpLimits)); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithField("error", err).Error("ListenerEnded")
		}
	}()
	log.WithFields(log.Fields{"incarnation": f.node.inc.ID(), "http": httpListener.Addr().String(), "peer": peerListener.Addr().String()}).Info("Listening")
	return nil
}

// connLimits returns the limits of connections of callers and of other daemons.
func connLimits(r *ibislimit.Recorder) (callers, peers ibislimit.Options) {
	timeout := func() time.Duration { return newPeerTimeout }
	callers = ibislimit.Options{MaxConns: maxCallerConns, Recorder: r}
	peers = ibislimit.Options{MaxEarlyTotal: newPeerBytes, HeaderTimeout: timeout, IdleTimeout: timeout, AckTimeout: ibisrpc.AckTimeout, Recorder: r}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return callers, peers // descriptors that have run out are noticed by the listener
	}
	fds := float64(min(files.Cur, 1<<30))
	callers.MaxConns = min(callers.MaxConns, int(callerConnShare*fds))
	peers.MaxUnused = int(newPeerShare * fds)
	return callers, peers
}

// markPeer returns a method that marks connections on which a call of it has been decoded as those of daemons.
func (f *frontend) markPeer(m grpc.MethodDesc) grpc.MethodDesc {
	handler := m.Handler
	m.Handler = func(srv any, ctx context.Context, decode func(any) error, i grpc.UnaryServerInterceptor) (any, error) {
		return handler(srv, ctx, func(v any) error {
			err := decode(v)
			if from, ok := peer.FromContext(ctx); ok && err == nil && !f.peers.Conn(from.Addr).Busy() {
				return net.ErrClosed
			}
			return err
		}, i)
	}
	return m
}

// stop drains the daemon and closes the listeners. A revoked daemon drains only its callers: it can hand off
// nothing, because it can no longer write to the table.
func (f *frontend) stop(ctx context.Context) error {
	n := f.node
	if n.lifecycle.State() == "Revoked" {
		f.drainRevoked(ctx)
	} else {
		f.drainAll(ctx)
	}
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	f.drainConnections(closeCtx)
	if err := f.http.Shutdown(closeCtx); err != nil {
		log.WithField("error", err).Warn("ConnectionsCutOff")
		if err := f.http.Close(); err != nil {
			log.WithField("error", err).Debug("ListenerNotClosed")
		}
	}
	f.rpc.Stop()
	return nil
}

// drainConnections lets each open connection carry one more request, whose response announces that the
// connection closes. It closes those that stay idle, and waits until all are closed.
func (f *frontend) drainConnections(ctx context.Context) {
	idleCtx, cancel := context.WithTimeout(ctx, idleDrainTimeout)
	defer cancel()
	err := f.conns.Shutdown(idleCtx)
	if err == nil {
		return
	}
	log.WithField("error", err).Info("IdleConnectionsClosed")
	if err := f.conns.CloseIdle(ctx, ibisgate.NotReadBody()); err != nil {
		log.WithField("error", err).Info("ConnectionsLeftOpen")
	}
}

// drainRevoked drops all shards, so that their new holders answer the waiting callers.
func (f *frontend) drainRevoked(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, revokedDrainTimeout)
	defer cancel()
	f.node.holder.Abandon()
	if err := f.gate.Drain(ctx); err != nil {
		log.WithField("error", err).Warn("CallersCutOff")
	}
}

// drainAll refuses new work, answers the waiting callers, then hands off shards and backend servers.
func (f *frontend) drainAll(ctx context.Context) {
	n := f.node
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.DrainMS)*time.Millisecond)
	defer cancel()
	n.lifecycle.fire("Drain")
	f.fire("Drain")
	n.peers.Broadcast(ctx)
	if err := f.gate.Drain(ctx); err != nil {
		log.WithField("error", err).Warn("CallersCutOff")
		f.fire("Abort")
	} else {
		f.fire("CallersDone")
	}
	if err := n.holder.Drain(ctx); err != nil {
		log.WithField("error", err).Warn("ShardsNotHandedOver")
	}
	f.handOffServers(ctx)
	if err := n.inc.End(ctx); err != nil {
		log.WithField("error", err).Warn("IncarnationNotEnded")
	}
	n.lifecycle.fire("Leave")
	if f.drain.State() != "Closed" {
		f.fire("HandedOver")
	}
}

// handOffServers drains the owner and waits until other daemons have claimed its backend servers. It does not
// wait when no other daemon can claim them.
func (f *frontend) handOffServers(ctx context.Context) {
	n := f.node
	if err := n.owner.Drain(ctx); err != nil {
		return
	}
	for len(n.view().IDs()) > 0 && n.owner.Load().Servers > 0 {
		select {
		case <-ctx.Done():
			log.Warn("ServersNotHandedOver")
			return
		case <-time.After(handoffPollInterval):
		}
	}
}

// fire applies an event to the drain chart.
func (f *frontend) fire(event string) {
	if err := f.drain.Fire(event); err != nil {
		log.WithField("error", err).Error("DrainEventNotAllowed")
	}
}
