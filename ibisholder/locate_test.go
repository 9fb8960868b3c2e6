package ibisholder

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// ownerFake answers the calls of a holder. A call whose function is not set fails.
type ownerFake struct {
	locate  func(*ibiswire.LocateRequest) (*ibiswire.LocateReply, error)
	release func(*ibiswire.ReleaseRequest) (*ibiswire.ReleaseReply, error)
}

// serveOwner serves f on the loopback interface and returns its view member.
func serveOwner(t *testing.T, id string, f ownerFake) ibispeer.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := ibisrpc.NewServer(metrics.NewRegistry(),
		ibisrpc.Unary(ibiswire.MethodLocate, func(_ context.Context, r *ibiswire.LocateRequest) (*ibiswire.LocateReply, error) {
			if f.locate == nil {
				return nil, Error.New("no answer")
			}
			return f.locate(r)
		}),
		ibisrpc.Unary(ibiswire.MethodRelease, func(_ context.Context, r *ibiswire.ReleaseRequest) (*ibiswire.ReleaseReply, error) {
			if f.release == nil {
				return nil, Error.New("no answer")
			}
			return f.release(r)
		}))
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	return ibispeer.Member{Digest: ibispeer.Digest{Row: ibisincarnation.Row{ID: id, Address: l.Addr().String()}}}
}

// withOwners sets the view of h to these owners, and its VM list to one live backend server.
func withOwners(t *testing.T, h *Holder, members ...ibispeer.Member) {
	t.Helper()
	pool, stop := ibisrpc.NewPool(metrics.NewRegistry())
	t.Cleanup(stop)
	h.cfg.Pool = pool
	h.cfg.View = func() *ibispeer.View { return &ibispeer.View{Members: members} }
	h.cfg.VMs = func() []ibisserver.VM { return []ibisserver.VM{{Name: "server-1", State: ibisserver.Live}} }
}

func replyWithCover(state ibiswire.CoverState) func(*ibiswire.LocateRequest) (*ibiswire.LocateReply, error) {
	return func(*ibiswire.LocateRequest) (*ibiswire.LocateReply, error) {
		return &ibiswire.LocateReply{Covers: []ibiswire.Cover{{Server: "server-1", State: state}}}, nil
	}
}

func emptyReply(*ibiswire.LocateRequest) (*ibiswire.LocateReply, error) {
	return &ibiswire.LocateReply{}, nil
}

func TestExpiredLeasesCountOnlyIfAllOwnersAnswer(t *testing.T) {
	for _, tc := range []struct {
		name         string
		first, other ownerFake
		complete     bool
	}{
		{"OtherSilent", ownerFake{locate: replyWithCover(ibiswire.LeasesExpired)}, ownerFake{}, false},
		{"OtherKnowsNothing", ownerFake{locate: replyWithCover(ibiswire.LeasesExpired)}, ownerFake{locate: emptyReply}, true},
		{"OtherIsStarting", ownerFake{locate: replyWithCover(ibiswire.LeasesExpired)}, ownerFake{locate: replyWithCover(ibiswire.Uncertain)}, false},
		{"ClaimedOtherIsStarting", ownerFake{locate: replyWithCover(ibiswire.Claimed)}, ownerFake{locate: replyWithCover(ibiswire.Uncertain)}, false},
		{"OtherClaimed", ownerFake{locate: replyWithCover(ibiswire.LeasesExpired)}, ownerFake{locate: replyWithCover(ibiswire.Claimed)}, true},
		{"ClaimedOtherSilent", ownerFake{locate: replyWithCover(ibiswire.Claimed)}, ownerFake{}, true},
		{"NobodyKnows", ownerFake{locate: replyWithCover(ibiswire.Uncertain)}, ownerFake{locate: replyWithCover(ibiswire.Uncertain)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHolder(t, newJournalFake())
			withOwners(t, h, serveOwner(t, "owner-a", tc.first), serveOwner(t, "owner-b", tc.other))
			result := h.search(t.Context(), &ibiswire.LocateRequest{})
			assert.Equal(t, h.allServersCovered(result), tc.complete)

			e := runningEntry(testRequest(ibiswork.Batch, true), "owner-a")
			e.fire("Lose")
			assert.Equal(t, h.resolveAttempt(e, result), tc.complete)
		})
	}
}

func TestCancelIsRetriedUntilOwnerAnswers(t *testing.T) {
	h := newTestHolder(t, newJournalFake())
	calls := make(chan struct{})
	replies := make(chan error)
	withOwners(t, h, serveOwner(t, "owner-a", ownerFake{release: func(*ibiswire.ReleaseRequest) (*ibiswire.ReleaseReply, error) {
		calls <- struct{}{}
		return &ibiswire.ReleaseReply{Stopping: true}, <-replies
	}}))
	e := runningEntry(testRequest(ibiswork.Service, true), "owner-a")
	e.lastOwner, e.cancelRequested = "owner-a", true
	ctx, cancel := context.WithCancel(t.Context())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		h.watchTasks(ctx, e)
	}()
	<-calls
	replies <- Error.New("the reply was lost")
	<-calls
	replies <- nil
	cancel()
	<-watched
}

func TestTaskOnGoneVMIsLocated(t *testing.T) {
	h := newTestHolder(t, newJournalFake())
	withOwners(t, h, serveOwner(t, "owner-a", ownerFake{}))
	h.cfg.VMs = func() []ibisserver.VM { return []ibisserver.VM{{Name: "server-1", State: ibisserver.Gone}} }
	e := runningEntry(testRequest(ibiswork.Batch, true), "owner-a")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	h.watchTasks(ctx, e)
	assert.Equal(t, e.state(), stateLocating)
}
