package ibisadmin

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisburn"
	"ibiscrank/ibiswork"
)

// visit sends a request as a logged-in browser.
func (e *testEnv) visit(method, path, body string, set ...func(*http.Request)) *httptest.ResponseRecorder {
	e.Helper()
	return e.request(method, path, body, func(r *http.Request) {
		r.AddCookie(&http.Cookie{Name: cookieName, Value: operatorKey})
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		r.Header.Set("Sec-Fetch-Site", "same-origin")
		for _, f := range set {
			f(r)
		}
	})
}

var hidden = regexp.MustCompile(`<input type="hidden" name="([^"]*)" value="([^"]*)">`)

// confirmForm returns the hidden fields of the form on a confirmation page.
func (e *testEnv) confirmForm(path string) url.Values {
	e.Helper()
	w := e.visit("GET", path, "")
	assert.Equal(e, w.Code, http.StatusOK, w.Body.String())
	form := url.Values{}
	for _, m := range hidden.FindAllStringSubmatch(w.Body.String(), -1) {
		form.Set(m[1], m[2])
	}
	return form
}

// faultyOverview is an overview on which many alerts fire.
func faultyOverview() Overview {
	r := func(n int64) ibiswork.Resources {
		return ibiswork.Resources{MilliCPU: n * 1000, MemoryMB: n * 4096, Slots: n}
	}
	return Overview{
		Store: StoreHealth{AwayMS: 90_000},
		Daemons: []Daemon{
			{Incarnation: "i-1", Address: "10.0.0.1:8080", FailureDomain: "ub-1", State: "Serving", ConfigVersion: 2, Answers: true, ContactAgeMS: 100},
			{Incarnation: "i-2", Address: "10.0.0.2:8080", FailureDomain: "ub-2", State: "Serving", ConfigVersion: 1, ContactAgeMS: 9000},
		},
		Servers: []BackendServer{
			{Name: "s-1", FailureDomain: "ub-1", Rack: "r-1", Owner: "i-1", Capacity: r(8), Used: r(8), State: ServerLive},
			{Name: "s-2", FailureDomain: "ub-2", Rack: "r-2", Capacity: r(8), State: ServerUnreachable},
			{Name: "s-3", FailureDomain: "ub-1", Rack: "r-1", Owner: "i-1", Capacity: r(8), Used: r(8), State: ServerLive, SetAside: true, Reason: `<script>alert("x")</script>`},
		},
		Teams: []TeamLoad{{Name: "tuul-floor", Running: r(8), RunningTasks: 8, Share: 0.2, DeservedShare: 0.5, UpperLimit: ibiswork.Resources{MilliCPU: 8000, MemoryMB: 64000, Slots: 8}, Queued: 12, OldestMS: 65_000}},
	}
}

func TestHomeShowsAlertsFirst(t *testing.T) {
	e := newTestEnv(t)
	e.fleet.overview = faultyOverview()
	w := e.visit("GET", "/ops", "")
	assert.Equal(t, w.Code, http.StatusOK)
	text := w.Body.String()
	last := 0
	for _, want := range []string{"What is wrong", "Store away", "Failure domain lost", "Daemon does not answer", "Backend server does not answer", "Team at its upper limit", "<h2>Teams", "12 queued", "<h2>Backend servers set aside", "s-3", "<h2>Daemons and store", "<h2>Service-level burn", "no answer from 10.0.0.2:8080 (ub-2)"} {
		i := strings.Index(text[last:], want)
		assert.Assert(t, i >= 0, "%q is missing or out of order in\n%s", want, text)
		last += i
	}
	assert.Assert(t, !strings.Contains(text, "<script"), "a value was not escaped")
	assert.Assert(t, strings.Contains(text, `width=device-width`))
	if dir := os.Getenv("IBIS_PAGE_DIR"); dir != "" {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "home.html"), []byte(text), 0o600))
	}
}

func TestPagesShowDetailsForOperators(t *testing.T) {
	e := newTestEnv(t)
	e.fleet.overview = faultyOverview()
	e.fleet.overview.Servers = append(e.fleet.overview.Servers, BackendServer{Name: "s-4", State: ServerLive})
	for path, wants := range map[string][]string{
		"/ops":                     {"What is wrong (", "Backend server without an owner", "By its owner, which tries it again gently: &lt;script", "the error budget is used up"},
		"/ops/servers":             {"owner 10.0.0.1:8080 (ub-1)", "no owner"},
		"/ops/servers?filter=ub-2": {"1 of 1"},
		"/ops/team/tuul-floor":     {"upper limit 100% used", ">no data<", "No requests in 6 h."},
		"/ops/team/none":           {"<h1>Not shown", "It may be done already."},
	} {
		text := e.visit("GET", path, "").Body.String()
		for _, want := range wants {
			assert.Assert(t, strings.Contains(text, want), "%s has no %q in\n%s", path, want, text)
		}
	}
}

func TestPagesWithoutFleetOverview(t *testing.T) {
	e := newTestEnv(t)
	e.fleet.err = http.ErrHandlerTimeout
	for _, path := range []string{"/ops", "/ops/", "/ops/team/tuul-floor", "/ops/servers", "/ops/audit", "/ops/style.css"} {
		w := e.visit("GET", path, "")
		assert.Equal(t, w.Code, http.StatusOK, path)
	}
	assert.Assert(t, strings.Contains(e.visit("GET", "/ops", "").Body.String(), "could not be had"))
	assert.Equal(t, e.visit("GET", "/ops/team/none", "").Code, http.StatusNotFound)
	assert.Equal(t, e.visit("GET", "/ops/confirm/none", "").Code, http.StatusNotFound)
}

func TestActionsOfThePage(t *testing.T) {
	e := newTestEnv(t)
	key := e.mustCall("POST", "/v1/admin/teams/tuul-floor/keys", `{"ID":"issue-key-1","BasedOn":-1,"KeyName":"mill"}`).Key

	form := e.confirmForm("/ops/confirm/withdraw?team=tuul-floor&key=mill")
	_, ok := e.store.Snapshot().Authenticate(key)
	assert.Assert(t, ok, "the question alone withdrew the key")
	w := e.visit("POST", "/ops/do/withdraw", form.Encode())
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	_, ok = e.store.Snapshot().Authenticate(key)
	assert.Assert(t, !ok)
	assert.Assert(t, strings.Contains(e.visit("POST", "/ops/do/withdraw", form.Encode()).Body.String(), "done before"))

	form = e.confirmForm("/ops/confirm/aside?server=s-1")
	form.Set("reason", "smoke")
	assert.Equal(t, e.visit("POST", "/ops/do/aside", form.Encode()).Code, http.StatusOK)
	assert.Equal(t, e.store.Snapshot().SetAside["s-1"], "smoke")
	form = e.confirmForm("/ops/confirm/return?server=s-1")
	assert.Equal(t, e.visit("POST", "/ops/do/return", form.Encode()).Code, http.StatusOK)
	assert.Equal(t, len(e.store.Snapshot().SetAside), 0)

	form = e.confirmForm("/ops/confirm/cancel?team=tuul-floor")
	assert.Assert(t, strings.Contains(e.visit("POST", "/ops/do/cancel", form.Encode()).Body.String(), "7 requests were cancelled"))
	assert.DeepEqual(t, e.fleet.cancelled, []string{"tuul-floor"})
}

func TestActionsAreProtected(t *testing.T) {
	e := newTestEnv(t)
	form := e.confirmForm("/ops/confirm/aside?server=s-1")
	form.Set("reason", "smoke")
	crossSite := func(r *http.Request) { r.Header.Set("Sec-Fetch-Site", "cross-site") }
	otherOrigin := func(r *http.Request) {
		r.Header.Del("Sec-Fetch-Site")
		r.Header.Set("Origin", "http://evil.example")
	}
	noCookie := func(r *http.Request) { r.Header.Del("Cookie") }
	bad := url.Values{}
	for k, v := range form {
		bad[k] = v
	}
	bad.Set("token", formToken("another key"))
	for name, w := range map[string]*httptest.ResponseRecorder{
		"cross-site":   e.visit("POST", "/ops/do/aside", form.Encode(), crossSite),
		"other origin": e.visit("POST", "/ops/do/aside", form.Encode(), otherOrigin),
		"no cookie":    e.visit("POST", "/ops/do/aside", form.Encode(), noCookie),
		"bad token":    e.visit("POST", "/ops/do/aside", bad.Encode()),
		"GET":          e.visit("GET", "/ops/do/aside?"+form.Encode(), ""),
		"login":        e.visit("POST", "/ops/login", "key="+operatorKey, crossSite),
	} {
		assert.Assert(t, w.Code != http.StatusOK && len(w.Result().Cookies()) == 0, "%s: %d", name, w.Code)
	}
	assert.Equal(t, len(e.store.Snapshot().SetAside), 0)
}

func TestSession(t *testing.T) {
	e := newTestEnv(t)
	assert.Equal(t, e.request("GET", "/ops", "", func(*http.Request) {}).Header().Get("Location"), "/ops/login")
	assert.Equal(t, e.visit("POST", "/ops/login", "key=wrong").Code, http.StatusUnauthorized)
	w := e.visit("POST", "/ops/login", "key="+operatorKey)
	assert.Equal(t, w.Code, http.StatusSeeOther)
	c := w.Result().Cookies()[0]
	assert.Assert(t, c.HttpOnly && c.SameSite == http.SameSiteStrictMode && c.Path == "/ops")
	assert.Equal(t, e.visit("POST", "/ops/logout", "").Result().Cookies()[0].MaxAge, -1)
	assert.Assert(t, strings.HasPrefix(w.Header().Get("Content-Security-Policy"), "default-src 'none'"))

	e.mustCall("PUT", "/v1/admin/operators/nara", `{"ID":"make-nara"}`)
	assert.Equal(t, e.visit("GET", "/ops", "").Header().Get("Location"), "/ops/login", "a withdrawn key keeps its session")
}

func TestBurnBadge(t *testing.T) {
	for _, tc := range []struct {
		line ibisburn.Line
		want burnBadge
	}{
		{ibisburn.Line{State: ibisburn.Page, BudgetLeft: -3}, burnBadge{"page", "Page"}},
		{ibisburn.Line{State: ibisburn.OK, BudgetLeft: 0.4}, burnBadge{"ok", "OK"}},
		{ibisburn.Line{State: ibisburn.OK, BudgetLeft: -0.1}, burnBadge{"info", "used up"}},
		{ibisburn.Line{State: ibisburn.NoData, BudgetLeft: 1}, burnBadge{"", "no data"}},
	} {
		assert.Equal(t, burnBadgeOf(tc.line), tc.want)
	}
}
