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

// Severity is the urgency of an alert.
type Severity string

// The severities, most urgent first.
const (
	SeverityPage   Severity = "Page"
	SeverityTicket Severity = "Ticket"
	SeverityInfo   Severity = "Info"
)

// severityRank sorts alerts, most urgent first.
var severityRank = map[Severity]int{SeverityPage: 0, SeverityTicket: 1, SeverityInfo: 2}

// Alert is an alert rule with the text for operators and, when it fires, its subjects.
type Alert struct {
	Name      string   `json:"Name"`
	Condition string   `json:"Condition"`
	Severity  Severity `json:"Severity"`
	Wrong     string   `json:"Wrong"`              // the problem
	Do        string   `json:"Do"`                 // the remedy
	Subjects  []string `json:"Subjects,omitempty"` // names of the affected servers, teams, daemons and the like
}

// Thresholds of the conditions.
const (
	cutOffContactAgeMS       = 5000 // of Daemon.ContactAgeMS
	configBehindContactAgeMS = 2000 // of Daemon.ContactAgeMS
	fullThreshold            = 0.98 // fraction of a capacity or an upper limit
	belowShareThreshold      = 0.8  // fraction of the deserved share
)

// condition returns the subjects for which an alert fires, none if it does not fire.
type condition func(View) []string

var conditions = map[string]condition{
	"ServerOverCapacity": serversWhere(func(s BackendServer) bool { return !s.Used.FitsIn(s.Capacity) }),
	"ServerUnreachable":  serversWhere(func(s BackendServer) bool { return s.State == ServerUnreachable }),
	"ServerUnowned":      serversWhere(func(s BackendServer) bool { return s.State == ServerLive && s.Owner == "" }),
	"ServerFailing":      serversWhere(func(s BackendServer) bool { return s.SetAside && !s.ByOperator }),
	"TeamOverLimit":      teamsWhere(func(t TeamLoad) bool { return !t.Running.FitsIn(t.UpperLimit) }),
	"TeamAtLimit":        teamsWhere(atLimit),
	"TeamBelowShare": teamsWhere(func(t TeamLoad) bool {
		return t.Queued > 0 && !atLimit(t) && t.Share < belowShareThreshold*t.DeservedShare
	}),
	"DaemonSilent":      daemonsWhere(func(d Daemon, _ View) bool { return !d.Answers }),
	"DaemonCutOff":      daemonsWhere(func(d Daemon, _ View) bool { return d.Answers && d.ContactAgeMS > cutOffContactAgeMS }),
	"ConfigBehind":      daemonsWhere(configBehind),
	"StoreAway":         storeUnreachable,
	"FailureDomainLost": failureDomainLost,
	"FleetFull":         fleetFull,
	"BurnPage":          objectivesIn(ibisburn.Page),
	"BurnTicket":        objectivesIn(ibisburn.Ticket),
	"BurnIncomplete":    missingDaemons,
	"DeniedUnwritten":   pendingWithdrawals,
	"BootstrapKey":      bootstrapKey,
}

var alertRules = mustLoadAlertRules()

func mustLoadAlertRules() []Alert {
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
			panic(fmt.Sprintf("alert %q: unknown condition %q", a.Name, a.Condition))
		}
	}
	return list
}

// evaluateAlerts returns the alerts that fire on v, with their subjects. It has no side effects.
func evaluateAlerts(v View) []Alert {
	var firing []Alert
	for _, a := range alertRules {
		if a.Subjects = conditions[a.Condition](v); len(a.Subjects) > 0 {
			firing = append(firing, a)
		}
	}
	return firing
}

// sortedAlerts sorts list in place, most urgent first.
func sortedAlerts(list []Alert) []Alert {
	slices.SortStableFunc(list, func(a, b Alert) int { return cmp.Compare(severityRank[a.Severity], severityRank[b.Severity]) })
	return list
}

// serversWhere returns a condition that lists the backend servers for which fires holds, except gone ones.
func serversWhere(fires func(BackendServer) bool) condition {
	return func(v View) (names []string) {
		for _, s := range v.Overview.Servers {
			if s.State != ServerGone && fires(s) {
				names = append(names, s.Name)
			}
		}
		return names
	}
}

// teamsWhere returns a condition that lists the teams for which fires holds.
func teamsWhere(fires func(TeamLoad) bool) condition {
	return func(v View) (names []string) {
		for _, t := range v.Overview.Teams {
			if fires(t) {
				names = append(names, t.Name)
			}
		}
		return names
	}
}

// daemonsWhere returns a condition that lists the daemons for which fires holds.
func daemonsWhere(fires func(Daemon, View) bool) condition {
	return func(v View) (names []string) {
		for _, d := range v.Overview.Daemons {
			if fires(d, v) {
				names = append(names, d.label())
			}
		}
		return names
	}
}

// objectivesIn returns a condition that lists the objectives in that state.
func objectivesIn(state ibisburn.State) condition {
	return func(v View) (names []string) {
		for _, l := range v.Burn.Lines {
			if l.State == state {
				names = append(names, fmt.Sprintf("%s %s (%s)", l.Team, l.Class, l.Target()))
			}
		}
		return names
	}
}

// missingDaemons lists the daemons whose requests are missing from the burn report. A daemon that is not in
// the overview is listed by its incarnation.
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

func atLimit(t TeamLoad) bool { return t.Queued > 0 && t.limitUse() >= fullThreshold }

// configBehind reports whether a daemon has an older configuration although it had time to update since its
// last contact.
func configBehind(d Daemon, v View) bool {
	return d.Answers && d.ConfigVersion < v.Config.Version && d.ContactAgeMS > configBehindContactAgeMS
}

// storeUnreachable fires when the table service does not answer. Without an overview its state is unknown.
func storeUnreachable(v View) []string {
	s := v.Overview.Store
	if s.Reachable || v.FleetErr != "" {
		return nil
	}
	return []string{"for " + (time.Duration(s.AwayMS) * time.Millisecond).Round(time.Second).String()}
}

// failureDomainLost lists the failure domains in which no daemon or no backend server answers.
func failureDomainLost(v View) []string {
	type tally struct{ total, silent int }
	count := func(m map[string]*tally, domain string, silent bool) {
		if m[domain] == nil {
			m[domain] = new(tally)
		}
		m[domain].total++
		if silent {
			m[domain].silent++
		}
	}
	daemonTallies, serverTallies := make(map[string]*tally), make(map[string]*tally)
	for _, d := range v.Overview.Daemons {
		count(daemonTallies, d.FailureDomain, !d.Answers)
	}
	for _, s := range v.Overview.Servers {
		if s.State != ServerGone {
			count(serverTallies, s.FailureDomain, s.State == ServerUnreachable)
		}
	}
	var lost []string
	for domain, s := range daemonTallies {
		if s.silent == s.total {
			lost = append(lost, domain+" (daemons)")
		}
	}
	for domain, s := range serverTallies {
		if s.silent == s.total {
			lost = append(lost, domain+" (backend servers)")
		}
	}
	slices.Sort(lost)
	return lost
}

// fleetFull fires when requests are queued and the dominant resource of the live backend servers is
// nearly used up.
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
	if full := used.Dominant(capacity); queued > 0 && full >= fullThreshold {
		return []string{fmt.Sprintf("%.0f%% in use, %d requests wait", 100*full, queued)}
	}
	return nil
}

// pendingWithdrawals lists the keys in the deny set that the configuration table still contains.
func pendingWithdrawals(v View) (names []string) {
	for h := range v.Config.Denied {
		if team, name, ok := v.Config.FindKey(h); ok {
			names = append(names, team+"/"+name)
		}
	}
	slices.Sort(names)
	return names
}

// bootstrapKey fires while the key from the settings acts as the only operator key.
func bootstrapKey(v View) []string {
	if _, ok := v.Config.Operators[ibisconfig.BootstrapOperator]; ok {
		return []string{ibisconfig.BootstrapOperator}
	}
	return nil
}
