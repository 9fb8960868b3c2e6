package ibisclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibisgate"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswork"
)

const operatorKey = "ibk-first-operator"

// stubFleet is a fleet with an empty overview and no burn data.
type stubFleet struct{ store *ibisconfig.Store }

func (stubFleet) Overview(context.Context) (ibisadmin.Overview, error) {
	return ibisadmin.Overview{}, nil
}
func (stubFleet) CancelQueue(context.Context, string) (int, error) { return 3, nil }
func (f stubFleet) Withdraw(_ context.Context, h ibisconfig.KeyHash) error {
	f.store.Deny(h)
	return nil
}
func (stubFleet) Collect(context.Context) ([]ibisburn.DaemonCounts, []string) {
	return nil, []string{"i-2"}
}

// adminDaemon serves the operators' API on top of table. While loseReplies is above zero, it executes a
// request, decrements loseReplies and closes the connection without a reply.
func adminDaemon(t *testing.T, table *ibistablefake.Table) (address string, store *ibisconfig.Store, loseReplies *atomic.Int64) {
	t.Helper()
	log.SetHandler(discard.New())
	store = ibisconfig.NewStore(table).WithBootstrap(ibisconfig.HashKey(operatorKey))
	assert.NilError(t, store.Poll(t.Context()))
	f := stubFleet{store}
	admin, err := ibisadmin.New(ibisadmin.Deps{Config: store, Withdrawer: f, Fleet: f, Queues: f, Burn: f})
	assert.NilError(t, err)
	r := mux.NewRouter()
	admin.Register(r)
	loseReplies = new(atomic.Int64)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if loseReplies.Add(-1) >= 0 {
			r.ServeHTTP(httptest.NewRecorder(), req)
			panic(http.ErrAbortHandler)
		}
		r.ServeHTTP(w, req)
	}))
	t.Cleanup(srv.Close)
	return srv.URL, store, loseReplies
}

// TestAdminRetriesAfterLostReply guards against applying a change twice when its reply is lost and it is
// retried at another daemon.
func TestAdminRetriesAfterLostReply(t *testing.T) {
	table := ibistablefake.New()
	first, _, loseReplies := adminDaemon(t, table)
	second, store, _ := adminDaemon(t, table)
	a := NewAdmin([]string{first, second}, operatorKey)
	team := ibisconfig.Team{Name: "tuul-floor", Share: 2}

	loseReplies.Store(1)
	reply, err := a.PutTeam(t.Context(), "", 0, team)
	assert.NilError(t, err)
	assert.Assert(t, reply.Repeated)
	loseReplies.Store(1)
	key, reply, err := a.IssueKey(t.Context(), "", "tuul-floor", "mill")
	assert.NilError(t, err)
	assert.Assert(t, reply.Repeated)
	name, ok := store.Snapshot().Authenticate(key)
	assert.Assert(t, ok && name == "tuul-floor")
	_, err = a.WithdrawKey(t.Context(), "", "tuul-floor", "mill")
	assert.NilError(t, err)

	entries, err := a.Audit(t.Context(), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 3, "a change took effect twice")
}

// TestReplaceOwnKeyAfterLostReply guards against losing the new key of an operator. The first attempt
// replaces the bootstrap key and its reply is lost; the retry is then refused as unauthorized, which must be
// reported as an unknown outcome together with the new key.
func TestReplaceOwnKeyAfterLostReply(t *testing.T) {
	address, store, loseReplies := adminDaemon(t, ibistablefake.New())
	loseReplies.Store(1)
	key, _, err := NewAdmin([]string{address}, operatorKey).PutOperator(t.Context(), "", "nara")
	refusal := ibiswork.AsRefusal(err)
	assert.Equal(t, refusal.Code, ibiswork.CodeOutcomeUnknown, "the retry uses a key that the first attempt replaced")
	assert.Assert(t, !refusal.NotRun)
	name, ok := store.Snapshot().Operator(key)
	assert.Assert(t, ok && name == "nara", "the operator's key is lost")
}

// TestAdminStaleChange checks that the refusal of a change based on an old version carries the current item.
// It also checks the refusal of a wrong key, and that a burn report lacking a daemon isn't complete.
func TestAdminStaleChange(t *testing.T) {
	address, _, _ := adminDaemon(t, ibistablefake.New())
	a := NewAdmin([]string{address}, operatorKey)
	_, err := a.PutTeam(t.Context(), "", 0, ibisconfig.Team{Name: "tuul-floor", Share: 2})
	assert.NilError(t, err)
	_, err = a.PutTeam(t.Context(), "", 0, ibisconfig.Team{Name: "tuul-floor", Share: 5})
	refusal, ok := err.(*ibisadmin.Refusal)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, refusal.Code, ibiswork.CodeStale)
	assert.Equal(t, refusal.Stale.Team.Share, 2.0)

	_, err = NewAdmin([]string{address}, "wrong").Config(t.Context())
	assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeUnauthorized)
	r, err := a.Burn(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !r.Complete)
}

// TestAdminAllRepliesLost guards against the NotRun guarantee for a change that was executed without a reply.
func TestAdminAllRepliesLost(t *testing.T) {
	address, _, loseReplies := adminDaemon(t, ibistablefake.New())
	loseReplies.Store(adminAttempts)
	_, err := NewAdmin([]string{address}, operatorKey).SetAside(t.Context(), "", "s-1", "smoke")
	refusal := ibiswork.AsRefusal(err)
	assert.Equal(t, refusal.Code, ibiswork.CodeOutcomeUnknown)
	assert.Assert(t, !refusal.NotRun)
}

// TestAdminUnreachable checks that a change is reported as not run when no connection could be made.
func TestAdminUnreachable(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	_, err := NewAdmin([]string{srv.URL}, operatorKey).Return(t.Context(), "", "s-1")
	refusal := ibiswork.AsRefusal(err)
	assert.Equal(t, refusal.Code, ibiswork.CodeUnreachable)
	assert.Assert(t, refusal.NotRun)
}

// TestAdminRetryableRefusals checks that transient refusals are retried at the next daemon.
func TestAdminRetryableRefusals(t *testing.T) {
	for _, code := range []ibiswork.Code{ibiswork.CodeStoreUnavailable, ibiswork.CodeOutcomeUnknown, ibiswork.CodeUnreachable} {
		table := ibistablefake.New()
		second, _, _ := adminDaemon(t, table)
		calls := 0
		first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			w.WriteHeader(ibisgate.HTTPStatus(code))
			assert.Check(t, json.NewEncoder(w).Encode(ibiswork.Refuse(code, "away")) == nil)
		}))
		t.Cleanup(first.Close)
		_, err := NewAdmin([]string{first.URL, second}, operatorKey).PutTeam(t.Context(), "", 0, ibisconfig.Team{Name: "tuul-floor", Share: 2})
		assert.NilError(t, err, "%s", code)
		assert.Equal(t, calls, 1, "%s", code)
	}
}
