package ibisadmin

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswork"
)

func TestOperatorsAuthenticate(t *testing.T) {
	e := newTestEnv(t)
	for _, key := range []string{"", "Bearer ", "Bearer wrong", operatorKey} {
		w := e.request("GET", "/v1/admin/config", "", func(r *http.Request) { r.Header.Set("Authorization", key) })
		assert.Equal(t, w.Code, http.StatusUnauthorized, "%q", key)
	}
	w := e.call("GET", "/v1/admin/config", "")
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, !strings.Contains(w.Body.String(), string(ibisconfig.HashKey(operatorKey))), "a hash is shown")
}

func TestKeyIsShownOnce(t *testing.T) {
	e := newTestEnv(t)
	body := `{"ID":"issue-key-1","BasedOn":-1,"KeyName":"mill"}`
	key := e.mustCall("POST", "/v1/admin/teams/tuul-floor/keys", body).Key
	team, ok := e.store.Snapshot().Authenticate(key)
	assert.Assert(t, ok && team == "tuul-floor")
	e.mustRefuse("POST", "/v1/admin/teams/tuul-floor/keys", body, ibiswork.CodeConflict)

	own := ibisconfig.NewKey()
	body = `{"ID":"issue-key-2","BasedOn":-1,"KeyName":"desk","Hash":"` + string(ibisconfig.HashKey(own)) + `"}`
	e.table.Inject(ibistablefake.LostReply)
	first := e.mustCall("POST", "/v1/admin/teams/tuul-floor/keys", body)
	again := e.mustCall("POST", "/v1/admin/teams/tuul-floor/keys", body)
	assert.Equal(t, first.Version, again.Version)
	assert.Assert(t, again.Repeated && again.Key == "")
	_, ok = e.store.Snapshot().Authenticate(own)
	assert.Assert(t, ok)
	for _, path := range []string{"/v1/admin/config", "/v1/admin/audit", "/v1/admin/teams/tuul-floor"} {
		text := e.call("GET", path, "").Body.String()
		assert.Assert(t, !strings.Contains(text, key) && !strings.Contains(text, string(ibisconfig.HashKey(key))), path)
	}
}

// TestWithdrawal checks that a withdrawal is confirmed when it reaches either the peers or the table, and is
// written once the table is available again if it reached only the peers.
func TestWithdrawal(t *testing.T) {
	issue := func(e *testEnv) string {
		return e.mustCall("POST", "/v1/admin/teams/tuul-floor/keys", `{"ID":"issue-key-1","BasedOn":-1,"KeyName":"mill"}`).Key
	}
	const path, body = "/v1/admin/teams/tuul-floor/keys/mill", `{"ID":"withdraw-1"}`
	for name, tc := range map[string]struct {
		down, partitioned bool
		pending           bool
		want              ibiswork.Code
	}{
		"all is well":              {},
		"store away":               {down: true, pending: true},
		"peers away":               {partitioned: true},
		"store away and peers too": {down: true, partitioned: true, want: ibiswork.CodeStoreUnavailable},
	} {
		e := newTestEnv(t)
		key := issue(e)
		e.table.SetDown(tc.down)
		e.fleet.partitioned = tc.partitioned
		if tc.want != "" {
			r := e.mustRefuse("DELETE", path, body, tc.want)
			assert.Assert(t, r.NotRun && r.RetryAfterMS > 0, name)
			continue
		}
		reply := e.mustCall("DELETE", path, body)
		assert.Equal(t, reply.Pending, tc.pending, name)
		_, ok := e.store.Snapshot().Authenticate(key)
		assert.Assert(t, !ok, name)
		if tc.pending {
			e.table.SetDown(false)
			assert.NilError(t, e.store.ApplyWithdrawals(t.Context(), time.Time{}))
			entries, err := e.store.Audit(t.Context(), 1)
			assert.NilError(t, err)
			assert.Equal(t, entries[0].Operator, ibisconfig.BootstrapOperator, "the audit list does not name who withdrew the key")
			assert.Assert(t, e.mustCall("DELETE", path, body).Repeated, name)
			continue
		}
		// A repeat after a lost reply returns the same version.
		assert.Equal(t, e.mustCall("DELETE", path, body).Version, reply.Version, name)
	}
}

func TestStaleChangeReportsCurrentItem(t *testing.T) {
	e := newTestEnv(t)
	r := e.mustRefuse("PUT", "/v1/admin/teams/tuul-floor", `{"ID":"over-write","BasedOn":1,"Team":{"Name":"tuul-floor","Share":9}}`, ibiswork.CodeStale)
	assert.Equal(t, r.Stale.Team.Share, 3.0)
	assert.Equal(t, r.Stale.Last.Change, "make-team")
}

func TestRefusals(t *testing.T) {
	e := newTestEnv(t)
	for _, tc := range []struct {
		method, path, body string
		want               ibiswork.Code
	}{
		{"PUT", "/v1/admin/teams/tuul-floor", `{`, ibiswork.CodeBadRequest},
		{"PUT", "/v1/admin/teams/tuul-floor", `{"ID":"change-1","Tema":{}}`, ibiswork.CodeBadRequest},
		{"PUT", "/v1/admin/teams/other", `{"ID":"change-1","Team":{"Name":"tuul-floor","Share":1}}`, ibiswork.CodeBadRequest},
		{"PUT", "/v1/admin/teams/other", `{"ID":"change-1","Team":{"Name":"other","Share":-1}}`, ibiswork.CodeBadRequest},
		{"PUT", "/v1/admin/teams/other", `{"ID":"` + strings.Repeat("x", maxBodyBytes) + `"}`, ibiswork.CodeTooLarge},
		{"POST", "/v1/admin/teams/other/cancel", `{"ID":"change-1"}`, ibiswork.CodeNotFound},
		{"DELETE", "/v1/admin/teams/tuul-floor/keys/none", `{"ID":"change-1"}`, ibiswork.CodeNotFound},
		{"POST", "/v1/admin/servers/s-1/return", `{"ID":"change-1"}`, ibiswork.CodeNotFound},
		{"GET", "/v1/admin/audit?limit=0", "", ibiswork.CodeBadRequest},
	} {
		e.mustRefuse(tc.method, tc.path, tc.body, tc.want)
	}
}

func TestServersAndQueues(t *testing.T) {
	e := newTestEnv(t)
	e.mustCall("POST", "/v1/admin/servers/s-1/aside", `{"ID":"aside-001","Reason":"bad disk"}`)
	assert.Equal(t, e.store.Snapshot().SetAside["s-1"], "bad disk")
	e.mustCall("POST", "/v1/admin/servers/s-1/return", `{"ID":"return-01","BasedOn":-1}`)
	assert.Equal(t, len(e.store.Snapshot().SetAside), 0)
	assert.Equal(t, e.mustCall("POST", "/v1/admin/teams/tuul-floor/cancel", `{"ID":"cancel-01"}`).Cancelled, 7)
	var entries []ibisconfig.AuditEntry
	assert.NilError(t, json.Unmarshal(e.call("GET", "/v1/admin/audit?limit=2", "").Body.Bytes(), &entries))
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Action, "Return")
	assert.Equal(t, entries[0].Operator, ibisconfig.BootstrapOperator)
}

func TestOperatorsReplaceTheBootstrapKey(t *testing.T) {
	e := newTestEnv(t)
	key := e.mustCall("PUT", "/v1/admin/operators/nara", `{"ID":"make-nara"}`).Key
	name, ok := e.store.Snapshot().Operator(key)
	assert.Assert(t, ok && name == "nara")
	w := e.call("GET", "/v1/admin/config", "")
	assert.Equal(t, w.Code, http.StatusUnauthorized, "the bootstrap key still works")
}

func TestBurnListsMissingDaemons(t *testing.T) {
	e := newTestEnv(t)
	var r ibisburn.Report
	assert.NilError(t, json.Unmarshal(e.call("GET", "/v1/admin/burn", "").Body.Bytes(), &r))
	assert.Equal(t, r.Lines[0].State, ibisburn.Page)
	assert.DeepEqual(t, r.Missing, []string{"i-2"})
	assert.Assert(t, !r.Complete)
}
