package ibisadmin

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

//go:embed pages/*.html pages/style.css
var pageFiles embed.FS

const (
	// maxListed bounds each list of backend servers on a page; the filter of the servers page finds the others.
	maxListed        = 50
	maxWorstLines    = 10
	maxFormBytes     = 8 << 10
	auditPageEntries = 50
)

var pages = template.Must(template.New("").Funcs(template.FuncMap{
	"percent": func(f float64) string { return fmt.Sprintf("%.0f%%", 100*f) },
	"rate":    func(f float64) string { return fmt.Sprintf("%.1f", f) },
	"ms": func(n int64) string {
		return (time.Duration(n) * time.Millisecond).Round(100 * time.Millisecond).String()
	},
	"millis": func(f float64) string {
		return time.Duration(f * float64(time.Millisecond)).Round(time.Millisecond).String()
	},
	"budget":    budgetText,
	"burnLook":  burnBadgeOf,
	"resources": resourcesText,
	"time":      func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
	"first":     firstSubjects,
	"lower":     func(v any) string { return strings.ToLower(fmt.Sprint(v)) },
}).ParseFS(pageFiles, "pages/*.html"))

// page is the data of every template.
type page struct {
	Title    string
	Daemon   string
	Operator string
	Token    string // form token of the session
	key      ibisconfig.KeyHash
	At       time.Time
	Refresh  int // seconds between reloads, zero for none
	Body     any
}

func (a *Admin) registerPage(r *mux.Router) {
	r.Use(pageHeaders)
	r.HandleFunc("/style.css", serveStyle).Methods(http.MethodGet)
	r.HandleFunc("/login", a.loginForm).Methods(http.MethodGet)
	r.Handle("/login", a.sameOrigin(http.HandlerFunc(a.login))).Methods(http.MethodPost)
	r.Handle("/logout", a.sameOrigin(http.HandlerFunc(a.logout))).Methods(http.MethodPost)
	r.HandleFunc("", a.withSession(a.home)).Methods(http.MethodGet)
	r.HandleFunc("/", a.withSession(a.home)).Methods(http.MethodGet)
	r.HandleFunc("/team/{team}", a.withSession(a.team)).Methods(http.MethodGet)
	r.HandleFunc("/servers", a.withSession(a.serverList)).Methods(http.MethodGet)
	r.HandleFunc("/audit", a.withSession(a.audit)).Methods(http.MethodGet)
	r.HandleFunc("/confirm/{action}", a.withSession(a.confirm)).Methods(http.MethodGet)
	r.Handle("/do/{action}", a.sameOrigin(a.withSession(a.runAction))).Methods(http.MethodPost)
}

// pageHeaders forbids scripts, third-party content and framing, and keeps pages out of caches.
func pageHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Referrer-Policy", "same-origin")
		h.Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

func (a *Admin) sameOrigin(next http.Handler) http.Handler { return a.crossOrigin.Handler(next) }

func serveStyle(w http.ResponseWriter, _ *http.Request) {
	b, err := pageFiles.ReadFile("pages/style.css")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/css; charset=utf-8")
	w.Write(b)
}

// render executes a template into a buffer first, so that a failure yields a clean error response.
func (a *Admin) render(w http.ResponseWriter, status int, name string, p page) {
	var b bytes.Buffer
	if err := pages.ExecuteTemplate(&b, name, p); err != nil {
		log.WithFields(log.Fields{"page": name, "error": err}).Error("PageFailed")
		http.Error(w, "the page could not be rendered", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	w.Write(b.Bytes())
}

// teamRow is one team on the first page or on its own.
type teamRow struct {
	TeamLoad
	Weight   float64 // Team.Share of the configuration; TeamLoad.Share is a fraction of the fleet
	LimitUse float64
	Known    bool // whether the overview contains the team
}

// asideServer is a backend server that is set aside.
type asideServer struct {
	Name       string
	Reason     string
	ByOperator bool
	Listed     bool // whether the platform's list of VMs contains it
}

// homeBody is the body of the first page.
type homeBody struct {
	View
	Teams   []teamRow
	Aside   []asideServer
	More    int // number of further servers set aside, beyond maxListed
	Counts  map[ServerState]int
	Worst   []ibisburn.Line
	Domains []DomainState
	Silent  []string // daemons missing from the burn report
}

func (a *Admin) home(w http.ResponseWriter, r *http.Request, p page) {
	v := a.view(r.Context())
	b := homeBody{View: v, Teams: teamRows(v), Worst: v.Burn.Worst(maxWorstLines), Silent: missingDaemons(v), Domains: a.domainStates(v), Counts: make(map[ServerState]int)}
	for _, s := range v.Overview.Servers {
		b.Counts[s.State]++
	}
	b.Aside = asideServers(v)
	if n := len(b.Aside) - maxListed; n > 0 {
		b.Aside, b.More = b.Aside[:maxListed], n
	}
	const refreshSeconds = 20
	p.Title, p.Refresh, p.Body = "Fleet", refreshSeconds, b
	a.render(w, http.StatusOK, "home.html", p)
}

// teamRows returns a row for every configured team, by name, also for those missing from the overview.
func teamRows(v View) []teamRow {
	loads := make(map[string]TeamLoad)
	for _, t := range v.Overview.Teams {
		loads[t.Name] = t
	}
	var rows []teamRow
	for _, name := range slices.Sorted(maps.Keys(v.Config.Teams)) {
		load, ok := loads[name]
		if !ok {
			load = TeamLoad{Name: name, UpperLimit: v.Config.Teams[name].UpperLimit}
		}
		rows = append(rows, teamRow{TeamLoad: load, Weight: v.Config.Teams[name].Share, LimitUse: load.limitUse(), Known: ok})
	}
	return rows
}

// asideServers lists the backend servers set aside by operators, then those set aside by daemons only.
func asideServers(v View) []asideServer {
	var list []asideServer
	listed := make(map[string]bool, len(v.Overview.Servers))
	for _, s := range v.Overview.Servers {
		listed[s.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(v.Config.SetAside)) {
		list = append(list, asideServer{Name: name, Reason: v.Config.SetAside[name], ByOperator: true, Listed: listed[name]})
	}
	for _, s := range v.Overview.Servers {
		if _, ok := v.Config.SetAside[s.Name]; s.SetAside && !ok {
			list = append(list, asideServer{Name: s.Name, Reason: s.Reason, ByOperator: s.ByOperator, Listed: true})
		}
	}
	return list
}

// teamBody is the body of the page of one team.
type teamBody struct {
	Team ibisconfig.Team
	Row  teamRow
	Burn []ibisburn.Line
}

func (a *Admin) team(w http.ResponseWriter, r *http.Request, p page) {
	v := a.view(r.Context())
	t, ok := v.Config.Teams[mux.Vars(r)["team"]]
	if !ok {
		a.renderError(w, r, p, ibiswork.Refuse(ibiswork.CodeNotFound, "there is no team %s", mux.Vars(r)["team"]))
		return
	}
	b := teamBody{Team: t}
	for _, row := range teamRows(v) {
		if row.Name == t.Name {
			b.Row = row
		}
	}
	for _, l := range v.Burn.Lines {
		if l.Team == t.Name {
			b.Burn = append(b.Burn, l)
		}
	}
	p.Title, p.Body = t.Name, b
	a.render(w, http.StatusOK, "team.html", p)
}

// serversBody is the body of the list of backend servers.
type serversBody struct {
	Filter  string
	Servers []BackendServer
	Total   int
	Owners  map[string]string // label of each daemon, by incarnation
}

func (a *Admin) serverList(w http.ResponseWriter, r *http.Request, p page) {
	v := a.view(r.Context())
	b := serversBody{Filter: r.URL.Query().Get("filter"), Owners: make(map[string]string)}
	for _, d := range v.Overview.Daemons {
		b.Owners[d.Incarnation] = d.label()
	}
	for _, s := range v.Overview.Servers {
		text := strings.Join([]string{s.Name, s.FailureDomain, s.Rack, string(s.State)}, " ")
		if strings.Contains(strings.ToLower(text), strings.ToLower(b.Filter)) {
			b.Total++
			if len(b.Servers) < maxListed {
				b.Servers = append(b.Servers, s)
			}
		}
	}
	p.Title, p.Body = "Backend servers", b
	a.render(w, http.StatusOK, "servers.html", p)
}

func (a *Admin) audit(w http.ResponseWriter, r *http.Request, p page) {
	entries, err := a.Config.Audit(r.Context(), auditPageEntries)
	if err != nil {
		a.renderError(w, r, p, err)
		return
	}
	p.Title, p.Body = "Changes", entries
	a.render(w, http.StatusOK, "audit.html", p)
}

// outcome is the body of the page after an action.
type outcome struct {
	OK      bool
	Message string
	Advice  string
}

// renderError shows why an action was refused or why a page could not be rendered.
func (a *Admin) renderError(w http.ResponseWriter, r *http.Request, p page, err error) {
	refusal := refusalOf(err)
	p.Title = "Not done"
	if r.Method == http.MethodGet {
		p.Title = "Not shown"
	}
	p.Body = outcome{Message: refusal.Message, Advice: advice[refusal.Code]}
	a.render(w, refusal.status(), "outcome.html", p)
}

// advice tells the operator what to do after a refusal.
var advice = map[ibiswork.Code]string{
	ibiswork.CodeStale:            "Someone changed it meanwhile. Look again and repeat if it is still right.",
	ibiswork.CodeOutcomeUnknown:   "It may or may not have been done. Load this page again: the same action is not done twice.",
	ibiswork.CodeStoreUnavailable: "The table service is unavailable, and nothing was changed. Load this page again in a moment.",
	ibiswork.CodeForbidden:        "Nothing was done. Go back and begin again.",
	ibiswork.CodeNotFound:         "Nothing was done. It may be done already.",
}
