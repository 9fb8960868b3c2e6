package ibisproof

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisharness"
	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistable"
)

// pauseDuration is longer than any lease that a daemon with shortTimeouts grants, and than the time after
// which a silent daemon is revoked.
const pauseDuration = 7 * time.Second

// TestPauseDaemon guards against a stale daemon that continues its old work. A daemon is paused for longer
// than any lease while work of all classes is in flight, the others take its work over, and then it resumes.
// Its revoked incarnation must write nothing.
func TestPauseDaemon(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8})
	stop := p.submitEvery(40*time.Millisecond, p.mixedRequest)
	d := p.Daemons[0]
	p.awaitFinished(20)
	p.awaitRunning(6)
	id := p.incarnation(d)
	pausedAt := time.Now()
	d.Pause()
	ibisharness.Await(t, requestTimeout, "the paused incarnation is revoked", func() (bool, any) {
		ended, err := ibisincarnation.IsOver(t.Context(), p.tableClient(), id)
		return ended && err == nil, err
	})
	before := p.rowVersions(id)
	p.awaitFinished(20)
	ibisharness.Await(t, requestTimeout, "every lease has expired", func() (bool, any) {
		return time.Since(pausedAt) > pauseDuration, time.Since(pausedAt)
	})
	p.reportViolations("written while revoked", changedRows(before, p.rowVersions(id)))
	d.Resume()
	ibisharness.Await(t, requestTimeout, "the paused daemon is ready with a new incarnation", func() (bool, any) {
		p.reportViolations("written after the pause", changedRows(before, p.rowVersions(id)))
		now := p.incarnation(d)
		return now != id && now != "" && d.Ready(), now
	})
	assert.Assert(t, !t.Failed())
	p.awaitFinished(20)
	stop()
	p.requireAllDone(nil)
	p.checkInvariants()
}

// tableClient returns a client that calls the table service without a proxy.
func (p *proof) tableClient() *ibistable.Client { return ibistable.NewClient(p.Platform.Table, nil) }

// incarnation returns the ID of the newest live incarnation of a daemon, or an empty string.
func (p *proof) incarnation(d *ibisharness.Daemon) string {
	p.t.Helper()
	rows, err := ibisincarnation.List(context.Background(), p.tableClient())
	assert.NilError(p.t, err)
	id := ""
	for _, r := range rows {
		if r.State == ibisincarnation.Live && r.HTTPAddress == d.Settings.Listen && r.ID > id {
			id = r.ID
		}
	}
	return id
}

// scanRows is the limit of one scan. The tables of these tests have fewer rows.
const scanRows = 10000

// rowVersions returns the version of every row that only this incarnation writes, by key.
func (p *proof) rowVersions(id string) map[string]int64 {
	p.t.Helper()
	rows, err := p.tableClient().Scan(context.Background(), "", "\xff", scanRows)
	assert.NilError(p.t, err)
	versions := map[string]int64{}
	for _, r := range rows {
		if strings.Contains(r.Key, id) && r.Key != ibisincarnation.Key(id) {
			versions[r.Key] = r.Version
		}
	}
	return versions
}

// changedRows finds rows that are new or have another version. Deleted rows do not count.
func changedRows(before, after map[string]int64) []string {
	var violations []string
	for key, version := range after {
		if before[key] != version {
			violations = append(violations, fmt.Sprintf("%s has version %d, had %d", key, version, before[key]))
		}
	}
	return violations
}
