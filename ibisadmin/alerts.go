package ibisadmin

import (
	"cmp"
	"embed"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

//go:embed data/alerts.json
var alertFile embed.FS

// Severity is how urgent an alert is.
type Severity string

// The severities, the gravest first.
const (
	SeverityPage   Severity = "Page"
	SeverityTicket Severity = "Ticket"
	SeverityInfo   Severity = "Info"
)

var gravity = map[Severity]int{SeverityPage: 0, SeverityTicket: 1, SeverityInfo: 2}

// Alert is one thing that is wrong, with what to do about it.
type Alert struct {
	Name      string   `json:"Name"`
	Condition string   `json:"Condition"`
	Severity  Severity `json:"Severity"`
	Wrong     string   `json:"Wrong"`
	Do        string   `json:"Do"`
	Subjects  []string `json:"Subjects,omitempty"` // what it concerns
}

// Limits of the conditions.
const (
	cutOffAfterMS   = 5000 // without news
	behindAfterMS   = 2000 // without news
	fullFrom        = 0.98 // of a capacity or a limit
	belowShareUnder = 0.8  // of the deserved share
)

// condition names what is wrong by one rule; nothing when all is well.
type condition func(View) []string

var conditions = map[string]condition{
	"ServerOverCapacity": servers(func(s BackendServer) bool { return !s.Used.FitsIn(s.Capacity) }),
	"ServerUnreachable":  servers(func(s BackendServer) bool { return s.State == ServerUnreachable }),
	"ServerUnowned":      servers(func(s BackendServer) bool { return s.State == ServerLive && s.Owner == "" }),
	"ServerFailing":      servers(func(s BackendServer) bool { return s.SetAside && !s.ByOperator }),
	"TeamOverLimit":      teams(func(t TeamLoad) bool { return !t.Running.FitsIn(t.UpperLimit) }),
	"TeamAtLimit":        teams(atLimit),
	"TeamBelowShare": teams(func(t TeamLoad) bool {
		return t.Queued > 0 && !atLimit(t) && t.Share < belowShareUnder*t.DeservedShare
	}),
	"DaemonSilent":      daemons(func(d Daemon, _ View) bool { return !d.Answers }),
	"DaemonCutOff":      daemons(func(d Daemon, _ View) bool { return d.Answers && d.NewsAgeMS > cutOffAfterMS }),
	"ConfigBehind":      daemons(configBehind),
	"StoreAway":         storeAway,
	"FailureDomainLost": failureDomainLost,
	"FleetFull":         fleetFull,
	"BurnPage":          burning(ibisburn.Page),
	"BurnTicket":        burning(ibisburn.Ticket),
	"BurnIncomplete":    missingDaemons,
	"DeniedUnwritten":   deniedUnwritten,
	"BootstrapKey":      bootstrapKey,
}

var alertList = mustLoadAlerts()

func mustLoadAlerts() []Alert {
	b, err := alertFile.ReadFile("data/alerts.json")
	if err != nil {
		panic(err)
	}
	var list []Alert
	if err := json.Unmarshal(b, &list); err != nil {
		panic(err)
	}
	for _, a := range list {
		if conditions[a.Condition] == nil {
			panic(fmt.Sprintf("alert %s: no condition %s", a.Name, a.Condition))
		}
	}
	return list
}

// evaluateAlerts is every alert whose condition holds. It is pure.
func evaluateAlerts(v View) []Alert {
	var firing []Alert
	for _, a := range alertList {
		if a.Subjects = conditions[a.Condition](v); len(a.Subjects) > 0 {
			firing = append(firing, a)
		}
	}
	return firing
}

// sortedAlerts puts the gravest first.
func sortedAlerts(list []Alert) []Alert {
	slices.SortStableFunc(list, func(a, b Alert) int { return cmp.Compare(gravity[a.Severity], gravity[b.Severity]) })
	return list
}

func servers(wrong func(BackendServer) bool) condition {
	return func(v View) (names []string) {
		for _, s := range v.Overview.Servers {
			if s.State != ServerGone && wrong(s) {
				names = append(names, s.Name)
			}
		}
		return names
	}
}

func teams(wrong func(TeamLoad) bool) condition {
	return func(v View) (names []string) {
		for _, t := range v.Overview.Teams {
			if wrong(t) {
				names = append(names, t.Name)
			}
		}
		return names
	}
}

func daemons(wrong func(Daemon, View) bool) condition {
	return func(v View) (names []string) {
		for _, d := range v.Overview.Daemons {
			if wrong(d, v) {
				names = append(names, d.label())
			}
		}
		return names
	}
}

func burning(state ibisburn.State) condition {
	return func(v View) (names []string) {
		for _, l := range v.Burn.Lines {
			if l.State == state {
				names = append(names, fmt.Sprintf("%s %s (%s)", l.Team, l.Class, l.Target()))
			}
		}
		return names
	}
}

// missingDaemons names the daemons whose requests are not in the burn report.
func missingDaemons(v View) []string {
	var names []string
	for _, id := range v.Burn.Missing {
		i := slices.IndexFunc(v.Overview.Daemons, func(d Daemon) bool { return d.Incarnation == id })
		if i < 0 {
			names = append(names, id)
			continue
		}
		names = append(names, v.Overview.Daemons[i].label())
	}
	return names
}

func atLimit(t TeamLoad) bool { return t.Queued > 0 && t.limitUse() >= fullFrom }

func configBehind(d Daemon, v View) bool {
	return d.Answers && d.ConfigVersion < v.Config.Version && d.NewsAgeMS > behindAfterMS
}

func storeAway(v View) []string {
	s := v.Overview.Store
	if s.Reachable || v.FleetErr != "" {
		return nil
	}
	return []string{"for " + (time.Duration(s.AwayMS) * time.Millisecond).Round(time.Second).String()}
}

// failureDomainLost names the domains in which every daemon or every backend server is silent.
func failureDomainLost(v View) []string {
	type state struct{ all, silent int }
	count := func(m map[string]*state, domain string, silent bool) {
		if m[domain] == nil {
			m[domain] = new(state)
		}
		m[domain].all++
		if silent {
			m[domain].silent++
		}
	}
	ds, ss := make(map[string]*state), make(map[string]*state)
	for _, d := range v.Overview.Daemons {
		count(ds, d.FailureDomain, !d.Answers)
	}
	for _, s := range v.Overview.Servers {
		if s.State != ServerGone {
			count(ss, s.FailureDomain, s.State == ServerUnreachable)
		}
	}
	var lost []string
	for domain, s := range ds {
		if s.silent == s.all {
			lost = append(lost, domain+" (daemons)")
		}
	}
	for domain, s := range ss {
		if s.silent == s.all {
			lost = append(lost, domain+" (backend servers)")
		}
	}
	slices.Sort(lost)
	return lost
}

func fleetFull(v View) []string {
	var used, capacity ibiswork.Resources
	queued := 0
	for _, s := range v.Overview.Servers {
		if s.State == ServerLive {
			used, capacity = used.Add(s.Used), capacity.Add(s.Capacity)
		}
	}
	for _, t := range v.Overview.Teams {
		queued += t.Queued
	}
	if full := used.Dominant(capacity); queued > 0 && full >= fullFrom {
		return []string{fmt.Sprintf("%.0f%% in use, %d requests wait", 100*full, queued)}
	}
	return nil
}

func deniedUnwritten(v View) (names []string) {
	for h := range v.Config.Denied {
		if team, name, ok := v.Config.KeyOf(h); ok {
			names = append(names, team+"/"+name)
		}
	}
	slices.Sort(names)
	return names
}

func bootstrapKey(v View) []string {
	if _, ok := v.Config.Operators[ibisconfig.BootstrapOperator]; ok {
		return []string{ibisconfig.BootstrapOperator}
	}
	return nil
}
