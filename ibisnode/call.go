package ibisnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

const (
	// leaderWait is how long a request waits for a leader, about the duration of one change of leader.
	leaderWait = 1500 * time.Millisecond
	// maxPongAge is the age up to which the counts of waiting jobs in the last pong are used. At the leader they
	// may have been maxCountsAge old already.
	maxPongAge = 700 * time.Millisecond
	// noLeaderTolerance is how long a daemon stays ready without a leader.
	noLeaderTolerance = 2500 * time.Millisecond
	// configMaxAgeFraction is the part of Settings.RevokeMS for which a confirmed configuration stays valid.
	configMaxAgeFraction = 0.75
	// directReadAfter is the time without a new confirmation by the leader after which a daemon reads the
	// configuration from the platform itself.
	directReadAfter = 1100 * time.Millisecond
	// directReadReserve is the time before its keys are too old at which a daemon reads the configuration itself although
	// its leader is reading it.
	directReadReserve = 500 * time.Millisecond
	// applyReserve is the same for changes that must be in force within Settings.ConfigApplyMS. It leaves time for the read,
	// which may be sent again.
	applyReserve = 900 * time.Millisecond
	// directReadCheck is the time between checks whether to read the configuration.
	directReadCheck = 100 * time.Millisecond
	// readingCommitAge is how old the last commit of a leader may be for others to leave the configuration to it. One that
	// doesn't reach the table reads in vain. A commit waits up to 1 s behind a configuration that fills the link, and is
	// heard of up to half a second later.
	readingCommitAge = 1500 * time.Millisecond
	// notReadyRetryMS is the retry delay for callers that this daemon can't serve.
	notReadyRetryMS = 1000
)

// Result is the outcome of a Call.
type Result struct {
	Reply
	Answered bool // Reply is set
	Sent     bool // the request may have reached a leader: without an answer, its outcome is unknown
}

// requester delivers requests to the engine: the leader's own term, or a follower's link to the leader.
type requester interface {
	request(r Request, answer func(Reply))
}

// Call sends r to the leader and waits for the answer until ctx ends, or until no leader has been found for
// 1.5 seconds. When the leader changes, r is sent again: requests are idempotent by the job's ID.
func (n *Node) Call(ctx context.Context, r Request) Result {
	var res Result
	deadline := time.Now().Add(leaderWait)
	for {
		target, changed := n.route()
		if target == nil {
			if !n.awaitRouteChange(ctx, changed, deadline) {
				return res
			}
			continue
		}
		res.Sent = true
		reply, ok := n.callOnce(ctx, target, r)
		if !ok {
			return res
		}
		if reply.Outcome != ibiscell.NotLeader {
			res.Reply, res.Answered = reply, true
			return res
		}
		if !n.sleep(ctx, leaderPollInterval/4) {
			return res
		}
		deadline = time.Now().Add(leaderWait)
	}
}

func (n *Node) callOnce(ctx context.Context, target requester, r Request) (Reply, bool) {
	replies := make(chan Reply, 1)
	var answered atomic.Bool
	target.request(r, func(reply Reply) {
		if answered.CompareAndSwap(false, true) {
			replies <- reply
		}
	})
	select {
	case reply := <-replies:
		return reply, true
	case <-ctx.Done():
		return Reply{}, false
	}
}

// awaitRouteChange waits until changed is closed; it reports false at the deadline or when ctx ends.
func (n *Node) awaitRouteChange(ctx context.Context, changed <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// route returns the current destination of requests, nil while there is no leader, and a channel that is
// closed when it changes.
func (n *Node) route() (requester, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.ownTerm != nil:
		return n.ownTerm, n.routeChanged
	case n.follower != nil:
		return n.follower, n.routeChanged
	}
	return nil, n.routeChanged
}

// WaitingJobs returns the number of waiting jobs of a queue: accepted jobs of which no task has started. ok is
// false when the number is unknown or too old.
func (n *Node) WaitingJobs(queue string) (count int, ok bool) {
	n.mu.Lock()
	t, f := n.ownTerm, n.follower
	n.mu.Unlock()
	switch {
	case t != nil:
		t.mu.Lock()
		defer t.mu.Unlock()
		fresh := n.clock.Now()-t.countedAt < (maxPongAge+maxCountsAge).Milliseconds()/2
		return t.waitingJobs[queue], t.waitingJobs != nil && fresh
	case f != nil:
		f.mu.Lock()
		defer f.mu.Unlock()
		now := n.clock.Now()
		count, known := f.counts.count(queue, now)
		return count, known && now-f.lastPong.At < maxPongAge.Milliseconds()
	}
	return 0, false
}

// Ready reports whether this daemon can serve callers: it isn't draining, its configuration is confirmed and
// it hasn't been without a leader for too long.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if n.cfg == nil || n.draining || now-n.configConfirmedAt > n.configMaxAgeMS() {
		return false
	}
	return n.ownTerm != nil || n.follower != nil || now-n.noLeaderSince < noLeaderTolerance.Milliseconds()
}

// Config returns the newest configuration that this daemon has received, or nil.
func (n *Node) Config() *ibisjob.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg
}

// ConfigState is the configuration of a daemon, and what it knows about whether there is a newer one.
type ConfigState struct {
	Config *ibisjob.Config // nil: none has been received
	AgeMS  int64           // since it was last known to be the newest
	// Complete means that each change that must be in force by now is in it. Otherwise it doesn't show that a queue or a key
	// does not exist.
	Complete bool
}

// ConfigState returns the newest configuration that this daemon has received.
func (n *Node) ConfigState() ConfigState {
	n.mu.Lock()
	defer n.mu.Unlock()
	age := n.clock.Now() - n.configConfirmedAt
	return ConfigState{Config: n.cfg, AgeMS: age, Complete: n.settings.ConfigApplyMS == 0 || age < n.settings.ConfigApplyMS}
}

// Team returns the team that a key belongs to. Fresh is false when the configuration hasn't been confirmed
// recently: keys may have been withdrawn since, so no key may be accepted.
func (n *Node) Team(key string) (team string, known, fresh bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	team, known = n.keys[key]
	return team, known, n.clock.Now()-n.configConfirmedAt < n.configMaxAgeMS()
}

// configMaxAgeMS is how long, in milliseconds, the configuration stays valid after a confirmation.
func (n *Node) configMaxAgeMS() int64 {
	return int64(configMaxAgeFraction * float64(n.settings.RevokeMS))
}

// configVersion returns the version of the configuration; 0: none.
func (n *Node) configVersion() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg == nil {
		return 0
	}
	return n.cfg.Version
}

// confirmConfig records that version was the newest at the time lagMS before readAt. It changes nothing while this daemon
// still has an older version.
func (n *Node) confirmConfig(version int64, readAt ibiscell.Time, lagMS int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg != nil && n.cfg.Version >= version && readAt-lagMS > n.configConfirmedAt {
		n.configConfirmedAt, n.configReadAt, n.configHeardAt = readAt-lagMS, readAt, n.clock.Now()
	}
}

// sinceConfigConfirmed returns the time since the configuration was last confirmed anew.
func (n *Node) sinceConfigConfirmed() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.clock.Now()-n.configHeardAt) * time.Millisecond
}

// setConfig applies a configuration if it is newer than the present one.
func (n *Node) setConfig(cfg *ibisjob.Config, source string) {
	n.mu.Lock()
	if n.cfg != nil && cfg.Version <= n.cfg.Version {
		n.mu.Unlock()
		return
	}
	n.rememberConfig(n.cfg)
	n.cfg = cfg
	lag := time.Duration(0) // of a first configuration nothing is known
	if n.configConfirmedAt != neverConfirmed {
		lag = time.Duration(n.clock.Now()-n.configConfirmedAt) * time.Millisecond
	}
	n.keys = make(map[string]string)
	for _, t := range cfg.Teams {
		for _, k := range t.Keys {
			n.keys[k] = t.Name
		}
	}
	t := n.ownTerm
	n.mu.Unlock()
	metrics.GetOrRegisterTimer("ConfigLag", n.registry).Update(lag)
	n.log.WithFields(log.Fields{"Version": cfg.Version, "From": source, "LagAtMostMS": lag.Milliseconds()}).Info("ConfigApplied")
	if t != nil {
		t.configChanged(cfg)
	}
}

// readConfig reads the configuration from the platform and confirms it; see Directory for lag. It reports whether there
// is one.
func (n *Node) readConfig(ctx context.Context) (lag time.Duration, ok bool) {
	n.configReads.Add(1)
	defer n.configReads.Add(-1)
	readCtx, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	began := n.clock.Now()
	cfg, lag, err := n.directory.Config(readCtx)
	took := n.clock.Now() - began
	metrics.GetOrRegisterTimer("ConfigReadTime", n.registry).Update(time.Duration(took) * time.Millisecond)
	if took >= slowReadThreshold.Milliseconds() {
		n.log.WithFields(log.Fields{"TookMS": took, "AgeMS": n.ConfigState().AgeMS, "OK": err == nil}).Info("ConfigReadSlow")
	}
	if err != nil {
		if ctx.Err() == nil { // else the caller has stopped waiting, which says nothing about the platform
			n.dependencyLost("Config", err)
		}
		return 0, false
	}
	n.dependencyBack("Config")
	if cfg == nil {
		return 0, false
	}
	n.setConfig(cfg, "Table")
	n.confirmConfig(cfg.Version, began, lag.Milliseconds())
	return lag, true
}

// readConfigWithoutLeader reads the configuration whenever no leader has confirmed it lately, or is about to. A daemon
// that leads polls it as part of its term.
func (n *Node) readConfigWithoutLeader(ctx context.Context) {
	for n.sleep(ctx, directReadCheck) {
		if n.currentTerm() != nil || !n.directReadDue() {
			continue
		}
		if _, ok := n.readConfig(ctx); !ok {
			n.sleep(ctx, configInterval/2)
		}
	}
}

// directReadDue reports whether this daemon is to read the configuration for itself.
func (n *Node) directReadDue() bool {
	now := n.clock.Now()
	if n.configArriving(now) {
		return false
	}
	if n.changeMayBeMissing(now) {
		return true // whether the leader is reading it or not
	}
	// A pong that ends the leader's read has confirmed or announced the configuration before.
	return !n.leaderReadsConfig(now) && n.sinceConfigConfirmed() > directReadAfter
}

// changeMayBeMissing reports whether the configuration may lack a change that must be in force within applyReserve.
func (n *Node) changeMayBeMissing(now ibiscell.Time) bool {
	apply := n.settings.ConfigApplyMS
	n.mu.Lock()
	defer n.mu.Unlock()
	return apply > 0 && now-n.configReadAt >= max(apply-applyReserve.Milliseconds(), apply/2)
}

// leaderReadsConfig reports whether to wait for the configuration that the leader or its scout is reading: as long as the
// leader reaches the table, and this daemon's own doesn't become too old meanwhile.
func (n *Node) leaderReadsConfig(now ibiscell.Time) bool {
	n.mu.Lock()
	f, confirmedAt := n.follower, n.configConfirmedAt
	n.mu.Unlock()
	if f == nil || now-confirmedAt >= n.configMaxAgeMS()-directReadReserve.Milliseconds() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.lastPong
	return p.ReadingConfig && now-f.pongAt <= pongTimeout.Milliseconds() && p.CommitAgeMS+now-p.At < readingCommitAge.Milliseconds()
}

// RetryMS is the retry delay, in milliseconds, for callers that this daemon can't serve now.
func (n *Node) RetryMS() int64 { return notReadyRetryMS }
