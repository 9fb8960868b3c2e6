package ibisnode

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibiscell"
)

// A scout reads the list of backend servers and the configuration for a leader with many servers, and sends it only
// what has changed. Most of what these reads return is what the leader knows already.

// scoutTimeout is how old the news of a scout may be. After that the leader reads for itself and takes another scout.
const scoutTimeout = 1500 * time.Millisecond

// scoutConfigTimeout is how long the leader leaves the configuration to a scout that reports servers, but has not confirmed
// the configuration. A whole read of 1.15 MB over 10 Mbit/s is reported 1.5 s after the report before it.
const scoutConfigTimeout = 2 * time.Second

// scoutReport is what a scout has read. Servers change only in a report that says so.
type scoutReport struct {
	At            ibiscell.Time         `cbor:"1,keyasint"`           // lower bound of when the reads began, on the leader's clock
	ConfigVersion int64                 `cbor:"2,keyasint,omitempty"` // 0: the configuration hasn't been read; key 3 was the configuration
	ConfigLagMS   int64                 `cbor:"8,keyasint,omitempty"` // a change made less than this before At may be missing
	Servers       bool                  `cbor:"4,keyasint,omitempty"` // the servers have been read
	All           bool                  `cbor:"5,keyasint,omitempty"` // Changed lists all servers
	Changed       []ibiscell.ServerInfo `cbor:"6,keyasint,omitempty"`
	Gone          []string              `cbor:"7,keyasint,omitempty"` // IDs of servers that are no longer listed
	Evacuated     []string              `cbor:"9,keyasint,omitempty"` // all evacuated failure domains, if Servers is set
}

// scoutState is what the leader knows from its scout. It is owned by the engine's goroutine.
type scoutState struct {
	link    *link         // nil: the leader reads for itself
	since   ibiscell.Time // when it was chosen
	at      ibiscell.Time // of its last report
	servers map[string]ibiscell.ServerInfo
}

// fresh reports whether the leader may leave its reads to the scout.
func (s *scoutState) fresh(now ibiscell.Time) bool {
	return s.link != nil && s.servers != nil && now-s.at < scoutTimeout.Milliseconds()
}

// updateScout chooses a scout when there are relays: a daemon that is not among them if there is one.
func (t *term) updateScout(candidates []*link) {
	now := t.n.clock.Now()
	s := &t.scout
	if s.link != nil && slices.Contains(candidates, s.link) && now-max(s.at, s.since) < scoutTimeout.Milliseconds() {
		return
	}
	failed := s.link
	*s = scoutState{}
	if t.relays.wanted > 0 {
		for _, l := range slices.Backward(candidates) {
			if l != failed {
				*s = scoutState{link: l, since: now}
				break
			}
		}
	}
	t.scoutFresh.Store(false)
	if failed != nil && failed != s.link {
		failed.out.put(&frame{Scout: &scoutOrder{}})
	}
	if s.link != nil {
		s.link.out.put(&frame{Scout: &scoutOrder{On: true}})
		t.log.WithField("Scout", s.link.Name).Info("ScoutChosen")
	}
}

// scoutReadsConfig reports whether the scout is reading the configuration: it does so every configInterval, and has not
// reported for longer than that.
func (t *term) scoutReadsConfig() bool {
	return t.scoutFresh.Load() && t.n.sinceConfigConfirmed() >= configInterval
}

// scoutOrder makes a daemon begin or end being the leader's scout.
type scoutOrder struct {
	On bool `cbor:"1,keyasint,omitempty"`
}

// handleScoutConfig handles the version of the configuration in a scout's report. That of a former scout is as good as
// any. A newer configuration is read from the platform: it may be too large for the link of the scout.
func (t *term) handleScoutConfig(r *scoutReport) {
	if r.ConfigVersion == 0 {
		return
	}
	t.n.confirmConfig(r.ConfigVersion, r.At, r.ConfigLagMS)
	if r.ConfigVersion > t.n.configVersion() {
		select {
		case t.configWanted <- struct{}{}:
		default:
		}
	}
}

// handleScoutReport applies the servers of a report of l on the engine's goroutine. The reports of one link arrive in
// order, and each is based on the one before it.
func (t *term) handleScoutReport(e *ibiscell.Engine, l *link, r *scoutReport) {
	if !r.Servers {
		return
	}
	s := &t.scout
	now := t.n.clock.Now()
	if l != s.link || now-r.At > scoutTimeout.Milliseconds() || !r.All && s.servers == nil {
		t.log.WithFields(log.Fields{"Scout": l.Name, "AgeMS": now - r.At}).Info("ScoutReportDropped")
		if l == s.link {
			s.at, s.since = 0, 0 // the next report is based on this one
		}
		return
	}
	s.at = r.At
	t.scoutFresh.Store(true)
	t.setEvacuations(e, r.At, r.Evacuated)
	if r.All {
		s.servers = make(map[string]ibiscell.ServerInfo, len(r.Changed))
	}
	for _, info := range r.Changed {
		s.servers[info.ID] = info
	}
	for _, id := range r.Gone {
		delete(s.servers, id)
	}
	if r.All || len(r.Changed) > 0 || len(r.Gone) > 0 {
		t.setServers(e, slices.Collect(maps.Values(s.servers)))
	}
}

// setServers passes the list of backend servers on to the engine.
func (t *term) setServers(e *ibiscell.Engine, list []ibiscell.ServerInfo) {
	e.SetServers(t.n.clock.Now(), list)
	t.relays.setServers(list, t.n.settings.DirectServers)
}

// handleScoutOrder begins or ends being the leader's scout.
func (f *follower) handleScoutOrder(ctx context.Context, o *scoutOrder) {
	if f.stopScout != nil {
		f.stopScout()
		f.stopScout = nil
	}
	if o.On {
		ctx, f.stopScout = context.WithCancel(ctx)
		go f.scoutServers(ctx)
		go f.scoutConfig(ctx)
	}
}

// scoutServers reads the list of servers until ctx ends, and reports what has changed.
func (f *follower) scoutServers(ctx context.Context) {
	known := make(map[string]ibiscell.ServerInfo)
	first := true
	for f.n.sleep(ctx, serversInterval) {
		at := f.leaderNow()
		if at == 0 {
			continue
		}
		reading, err := f.readFleet(ctx, at)
		if err != nil {
			f.n.dependencyLost("Servers", err)
			continue
		}
		f.n.dependencyBack("Servers")
		r := &scoutReport{At: at, Servers: true, All: first}
		first = false
		r.Evacuated = reading.evacuated
		r.addChanges(known, reading.servers)
		if !f.out.put(&frame{ScoutReports: []scoutReport{*r}}) {
			return // the next report would be based on one that is lost
		}
	}
}

func (f *follower) readFleet(ctx context.Context, at ibiscell.Time) (fleetReading, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.n.readFleet(ctx, at)
}

// scoutConfig reads the configuration until ctx ends, and reports its version. It does so apart from the servers, whose
// reports may not be late.
func (f *follower) scoutConfig(ctx context.Context) {
	for f.n.sleep(ctx, configInterval) {
		at := f.leaderNow()
		if at == 0 {
			continue
		}
		if lag, ok := f.n.readConfig(ctx); ok {
			f.out.put(&frame{ScoutReports: []scoutReport{{At: at, ConfigVersion: f.n.Config().Version, ConfigLagMS: lag.Milliseconds()}}})
		}
	}
}

// addChanges adds what distinguishes list from the known servers, and brings these up to date.
func (r *scoutReport) addChanges(known map[string]ibiscell.ServerInfo, list []ibiscell.ServerInfo) {
	present := make(map[string]bool, len(list))
	for _, info := range list {
		present[info.ID] = true
		if old, ok := known[info.ID]; !ok || !reflect.DeepEqual(old, info) {
			known[info.ID] = info
			r.Changed = append(r.Changed, info)
		}
	}
	for id := range known {
		if !present[id] {
			delete(known, id)
			r.Gone = append(r.Gone, id)
		}
	}
}
