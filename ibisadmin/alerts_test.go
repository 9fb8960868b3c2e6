package ibisadmin

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

func TestAlertsAreComplete(t *testing.T) {
	for _, a := range alertRules {
		assert.Check(t, a.Name != "" && a.Wrong != "" && a.Do != "", a.Condition)
		_, ok := severityRank[a.Severity]
		assert.Check(t, ok, a.Condition)
	}
	assert.Equal(t, len(alertRules), len(conditions))
}

// healthyView is a view on which no alert fires.
func healthyView() View {
	full := ibiswork.Resources{MilliCPU: 8000, Slots: 8}
	half := ibiswork.Resources{MilliCPU: 4000, Slots: 4}
	h := ibisconfig.HashKey("k")
	return View{
		Config: &ibisconfig.Snapshot{
			Version:   9,
			Teams:     map[string]ibisconfig.Team{"t": {Name: "t", Keys: []ibisconfig.Key{{Name: "k", Hash: h}}}},
			Operators: map[string]ibisconfig.Key{"nara": {}},
			Denied:    map[ibisconfig.KeyHash]bool{},
		},
		Overview: Overview{
			Store:   StoreHealth{Reachable: true},
			Daemons: []Daemon{{Incarnation: "i-1", FailureDomain: "a", Answers: true, ConfigVersion: 9}, {Incarnation: "i-2", FailureDomain: "a", Answers: true, ConfigVersion: 9}},
			Servers: []BackendServer{
				{Name: "s-1", FailureDomain: "a", Owner: "i-1", State: ServerLive, Capacity: full, Used: half},
				{Name: "s-2", FailureDomain: "a", Owner: "i-1", State: ServerLive, Capacity: full, Used: full},
			},
			Teams: []TeamLoad{{Name: "t", UpperLimit: full, Running: half, Share: 0.5, DeservedShare: 0.5, Queued: 1}},
		},
		Burn: ibisburn.Report{Complete: true, Lines: []ibisburn.Line{{State: ibisburn.OK}}},
	}
}

func TestConditions(t *testing.T) {
	assert.Equal(t, len(evaluateAlerts(healthyView())), 0)
	for name, change := range map[string]func(*View){
		"ServerOverCapacity": func(v *View) { v.Overview.Servers[0].Used.MilliCPU = 8001 },
		"ServerUnreachable":  func(v *View) { v.Overview.Servers[0].State = ServerUnreachable },
		"ServerUnowned":      func(v *View) { v.Overview.Servers[0].Owner = "" },
		"ServerFailing":      func(v *View) { v.Overview.Servers[0].SetAside = true },
		"TeamOverLimit":      func(v *View) { v.Overview.Teams[0].Running.Slots = 9; v.Overview.Teams[0].Queued = 0 },
		"TeamAtLimit":        func(v *View) { v.Overview.Teams[0].Running.Slots = 8 },
		"TeamBelowShare":     func(v *View) { v.Overview.Teams[0].Share = 0.39 },
		"DaemonSilent":       func(v *View) { v.Overview.Daemons[0].Answers = false },
		"DaemonCutOff":       func(v *View) { v.Overview.Daemons[0].ContactAgeMS = 5001 },
		"ConfigBehind":       func(v *View) { v.Overview.Daemons[0].ConfigVersion, v.Overview.Daemons[0].ContactAgeMS = 8, 2001 },
		"StoreAway":          func(v *View) { v.Overview.Store.Reachable = false },
		"FailureDomainLost":  func(v *View) { v.Overview.Daemons = append(v.Overview.Daemons, Daemon{FailureDomain: "b"}) },
		"FleetFull":          func(v *View) { v.Overview.Servers[0].Used.Slots = 8 },
		"BurnPage":           func(v *View) { v.Burn.Lines[0].State = ibisburn.Page },
		"BurnTicket":         func(v *View) { v.Burn.Lines[0].State = ibisburn.Ticket },
		"BurnIncomplete":     func(v *View) { v.Burn.Missing = []string{"i-2"} },
		"DeniedUnwritten":    func(v *View) { v.Config.Denied[ibisconfig.HashKey("k")] = true },
		"BootstrapKey":       func(v *View) { v.Config.Operators[ibisconfig.BootstrapOperator] = ibisconfig.Key{} },
	} {
		v := healthyView()
		change(&v)
		fired := false
		for _, a := range evaluateAlerts(v) {
			fired = fired || a.Condition == name
		}
		assert.Check(t, fired, name)
	}
}
