package ibisroute

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisholder"
	"ibiscrank/ibisincarnation"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// newTestRouter creates a router of the daemon "self". The only shard is held by the daemon "other", which
// serves submissions with submit.
func newTestRouter(t *testing.T, submit func(*ibiswire.SubmitRequest) (*ibiswork.Status, error)) *Router {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := ibisrpc.NewServer(metrics.NewRegistry(), ibisrpc.Unary(ibiswire.MethodSubmit,
		func(_ context.Context, m *ibiswire.SubmitRequest) (*ibiswork.Status, error) { return submit(m) }))
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	pool, stopPool := ibisrpc.NewPool(metrics.NewRegistry())
	t.Cleanup(stopPool)
	view := &ibispeer.View{Members: []ibispeer.Member{
		{Digest: ibispeer.Digest{Row: ibisincarnation.Row{ID: "other", Address: l.Addr().String()}}},
	}}
	table := ibistablefake.New()
	table.SetDown(true)
	local, stopHolder := ibisholder.New(ibisholder.Config{
		Self: "self", Shards: 1, Table: table, Pool: pool, View: func() *ibispeer.View { return view },
		Snapshot: func() *ibisconfig.Snapshot { return &ibisconfig.Snapshot{} }, VMs: func() []ibisserver.VM { return nil },
	})
	t.Cleanup(stopHolder)
	_, err = local.ShardsMoved(t.Context(), &ibiswire.ShardsMoved{Acquired: []ibiswire.Holder{{Shard: 0, Epoch: 1, Incarnation: "other"}}})
	assert.NilError(t, err)
	return New(Config{Self: "self", Shards: 1, Local: local, Pool: pool, View: func() *ibispeer.View { return view }})
}

// newFreshID returns an ID that r has recorded as created by its NewID.
func newFreshID(r *Router) ibiswork.ID {
	id := ibiswork.NewID()
	r.newIDs[id] = time.Now()
	return id
}

// TestFreshClearedOnceRequestMayBeAccepted checks that a retry is marked Fresh only while no holder can have
// accepted the request: a holder may treat a Fresh request as the first one with its ID.
func TestFreshClearedOnceRequestMayBeAccepted(t *testing.T) {
	for _, tc := range []struct {
		name   string
		notRun bool // in the refusal of the first attempt
		fresh  bool // in the second attempt
	}{
		{"MaybeAccepted", false, false},
		{"NotAccepted", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var fresh []bool
			r := newTestRouter(t, func(m *ibiswire.SubmitRequest) (*ibiswork.Status, error) {
				if fresh = append(fresh, m.Fresh); len(fresh) > 1 {
					return nil, ibiswork.Refuse(ibiswork.CodeNeverFits, "the last call")
				}
				return nil, &ibiswork.Refusal{Code: ibiswork.CodeRecovering, NotRun: tc.notRun}
			})
			_, err := r.Submit(t.Context(), ibiswork.Request{ID: newFreshID(r), Class: ibiswork.Interactive}, time.Minute)
			assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeNeverFits)
			assert.DeepEqual(t, fresh, []bool{true, tc.fresh})
		})
	}
}

// TestRefusalKeepsNotRunOfHolder checks that a final refusal promises that the request did not run only if no
// attempt can have been accepted.
func TestRefusalKeepsNotRunOfHolder(t *testing.T) {
	for _, notRun := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		r := newTestRouter(t, func(*ibiswire.SubmitRequest) (*ibiswork.Status, error) {
			return nil, &ibiswork.Refusal{Code: ibiswork.CodeRecovering, NotRun: notRun}
		})
		_, err := r.Submit(ctx, ibiswork.Request{ID: newFreshID(r), Class: ibiswork.Interactive, DeadlineMS: 300}, 0)
		assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeRecovering)
		assert.Equal(t, ibiswork.AsRefusal(err).NotRun, notRun)
		cancel()
	}
}
