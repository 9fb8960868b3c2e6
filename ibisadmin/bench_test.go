package ibisadmin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

// BenchmarkView evaluates the alerts and the burn report of 8,500 backend servers, 140 teams and 100 daemons.
func BenchmarkView(b *testing.B) {
	v := View{Config: &ibisconfig.Snapshot{Teams: make(map[string]ibisconfig.Team)}}
	r := ibiswork.Resources{MilliCPU: 16000, MemoryMB: 65536, Slots: 8}
	for i := range 8500 {
		v.Overview.Servers = append(v.Overview.Servers, BackendServer{Name: fmt.Sprint("server-", i), FailureDomain: fmt.Sprint("fd-", i%14), Owner: "i-1", Capacity: r, Used: r, State: ServerLive})
	}
	var rec ibisburn.Recorder
	now := time.Unix(1_800_000_000, 0)
	for i := range 140 {
		t := ibisconfig.Team{Name: fmt.Sprint("team-", i), Share: 1}
		v.Config.Teams[t.Name] = t
		v.Overview.Teams = append(v.Overview.Teams, TeamLoad{Name: t.Name, UpperLimit: r, Running: r, Queued: 1})
		for _, c := range ibiswork.Classes {
			rec.Observe(now, t, c, time.Second, true)
		}
	}
	var counts []ibisburn.DaemonCounts
	for i := range 100 {
		id := fmt.Sprint("i-", i)
		v.Overview.Daemons = append(v.Overview.Daemons, Daemon{Incarnation: id, FailureDomain: fmt.Sprint("fd-", i%14), Answers: true})
		counts = append(counts, rec.Counts(id, now))
	}
	b.ReportAllocs()
	for b.Loop() {
		v.Burn = ibisburn.Evaluate(v.Config, ibisburn.Merge(counts...), nil, now)
		v.Overview = v.Overview.sorted()
		if len(evaluateAlerts(v)) == 0 {
			b.Fatal("no alert")
		}
	}
}

func TestLargeFleetPageSizeIsBounded(t *testing.T) {
	const servers, maxPageBytes = 8500, 256 << 10
	e := newTestEnv(t)
	for i := range servers {
		e.fleet.overview.Servers = append(e.fleet.overview.Servers, BackendServer{
			Name: fmt.Sprint("server-", i), FailureDomain: "fd-1", Owner: "i-1", State: ServerLive, SetAside: true, Reason: "fails its tasks",
		})
	}
	for _, path := range []string{"/ops", "/ops/servers"} {
		w := e.visit("GET", path, "")
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Assert(t, w.Body.Len() < maxPageBytes, "%s has %d bytes", path, w.Body.Len())
	}
	found := e.visit("GET", "/ops/servers?filter=server-8499", "").Body.String()
	assert.Assert(t, strings.Contains(found, "<p>1 of 1</p>"), found)
}
