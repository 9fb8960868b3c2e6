package ibisadmin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibisgate"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswork"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

const operatorKey = "ibk-first-operator"

// fleet is a fake fleet: the overview, the cancelled queues and the deny set of one daemon.
type fleet struct {
	overview  Overview
	err       error
	cancelled []string
	store     *ibisconfig.Store
	cut       bool // withdrawals cannot be spread
}

func (f *fleet) Overview(context.Context) (Overview, error) { return f.overview, f.err }

func (f *fleet) CancelQueue(_ context.Context, team string) (int, error) {
	f.cancelled = append(f.cancelled, team)
	return 7, nil
}

func (f *fleet) Withdraw(_ context.Context, h ibisconfig.KeyHash) error {
	if f.cut {
		return errors.New("a daemon does not answer")
	}
	f.store.Deny(h)
	return nil
}

func (f *fleet) Collect(context.Context) ([]ibisburn.Part, []string) {
	var r ibisburn.Recorder
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for range 20 {
		r.Observe(now, f.store.Snapshot().Teams["tuul-floor"], ibiswork.Interactive, time.Minute, true)
	}
	return []ibisburn.Part{r.Part("i-1", now)}, []string{"i-2"}
}

// bench is an Admin over a fake table, with one team that has one key.
type bench struct {
	*testing.T
	table  *ibistablefake.Table
	store  *ibisconfig.Store
	fleet  *fleet
	router *mux.Router
}

func newBench(t *testing.T) *bench {
	t.Helper()
	table := ibistablefake.New()
	store := ibisconfig.NewStore(table).WithBootstrap(ibisconfig.HashKey(operatorKey))
	f := &fleet{store: store, overview: Overview{Store: StoreHealth{Reachable: true}}}
	a, err := New(Deps{Config: store, Withdrawer: f, Fleet: f, Queues: f, Burn: f, Daemon: "i-1",
		Now: func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) }})
	assert.NilError(t, err)
	b := &bench{T: t, table: table, store: store, fleet: f, router: mux.NewRouter()}
	a.Register(b.router)
	assert.NilError(t, store.Poll(t.Context()))
	b.mustCall("PUT", "/v1/admin/teams/tuul-floor", `{"ID":"make-team","Team":{"Name":"tuul-floor","Share":3,"UpperLimit":{"MilliCPU":8000,"MemoryMB":64000,"Slots":8}}}`)
	return b
}

func (b *bench) request(method, path, body string, set func(*http.Request)) *httptest.ResponseRecorder {
	b.Helper()
	r := httptest.NewRequestWithContext(b.Context(), method, path, strings.NewReader(body))
	set(r)
	w := httptest.NewRecorder()
	b.router.ServeHTTP(w, r)
	return w
}

func (b *bench) call(method, path, body string) *httptest.ResponseRecorder {
	b.Helper()
	return b.request(method, path, body, func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+operatorKey) })
}

func (b *bench) mustCall(method, path, body string) ChangeReply {
	b.Helper()
	w := b.call(method, path, body)
	assert.Equal(b, w.Code, http.StatusOK, w.Body.String())
	var reply ChangeReply
	assert.NilError(b, json.Unmarshal(w.Body.Bytes(), &reply))
	return reply
}

func (b *bench) refused(method, path, body string, want ibiswork.Code) Refusal {
	b.Helper()
	w := b.call(method, path, body)
	var r Refusal
	assert.NilError(b, json.Unmarshal(w.Body.Bytes(), &r), w.Body.String())
	assert.Equal(b, r.Code, want, w.Body.String())
	assert.Equal(b, w.Code, ibisgate.HTTPStatus(want))
	return r
}
