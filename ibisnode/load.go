package ibisnode

import (
	"math"

	"github.com/apex/log"

	"ibiscrank/ibiscell"
)

// reportLoad logs the load of the cell, updates the counts of waiting jobs, and now and then transfers
// leadership to a daemon on a much stronger VM.
func (t *term) reportLoad(e *ibiscell.Engine) {
	counts := e.WaitingJobs()
	t.mu.Lock()
	t.setCounts(counts)
	links := len(t.links)
	t.mu.Unlock()
	t.broadcastMembers()
	l := e.Load()
	t.log.WithFields(log.Fields{
		"Jobs": l.Jobs, "ReadySteps": l.ReadySteps, "Runs": l.Runs, "Servers": l.Servers, "Usable": l.Usable,
		"UsedMilliCPU": l.Used.MilliCPU, "CapacityMilliCPU": l.Capacity.MilliCPU, "Links": links, "Asks": l.QueuedAdviceCalls, "IdleHelpers": l.IdleHelpers, "BacklogMS": l.BacklogMS,
		"TrialServers": l.TrialServers, "TrialsWaiting": l.TrialsWaiting,
		"StepsInTime": l.StepsInTime, "StepsLate": l.StepsLate, "StepsWorthless": l.StepsWorthless,
		"DeclaredOff": math.Round(100*l.DeclaredOff) / 100, "ExpectedOff": math.Round(100*l.ExpectedOff) / 100,
		"EvacuatedDomains": l.EvacuatedDomains, "EvacuatedServers": l.EvacuatedServers, "EvacuatedRuns": l.EvacuatedRuns,
		"PaceSpread": math.Round(100*l.PaceSpread) / 100, "SlowServers": l.SlowServers, "FastServers": l.FastServers,
	}).WithFields(t.shareFields(l)).Info("CellLoad")
	t.reportTraffic()
	t.reportLinks()
	if t.loadReports++; t.loadReports%transferCheckReports == 0 {
		t.transferLeadership(t.n.settings.Power / weakPowerRatio)
	}
	t.n.gauge("CellJobs", l.Jobs)
	t.n.gauge("CellRuns", l.Runs)
	t.n.gauge("CellServersUsable", l.Usable)
	t.n.gauge("CellDomainsEvacuated", l.EvacuatedDomains)
	t.n.gauge("CellRunsInEvacuatedDomains", l.EvacuatedRuns)
	t.n.gauge("CellPaceSpreadPercent", int(math.Round(100*l.PaceSpread)))
	t.n.gauge("CellServersSlow", l.SlowServers)
	t.n.gauge("CellServersFast", l.FastServers)
}

// shareFields returns what CellLoad says about the shares of teams, and sets the gauges. Refusals are counted since the
// last report; a reason without any is left out.
func (t *term) shareFields(l ibiscell.Load) log.Fields {
	fields := log.Fields{"TeamsAboveShare": l.TeamsAboveShare, "HeadroomMilliCPU": l.HeadroomMilliCPU}
	total := 0
	for reason, n := range l.Refused {
		if since := n - t.refused[reason]; since > 0 {
			fields["Refused"+reason] = since
			total += since
		}
	}
	fields["Refused"] = total
	t.refused = l.Refused
	t.n.gauge("CellTeamsAboveShare", l.TeamsAboveShare)
	t.n.gauge("CellHeadroomMilliCPU", int(l.HeadroomMilliCPU))
	return fields
}
