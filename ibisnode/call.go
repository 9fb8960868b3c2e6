package ibisnode

import (
	"context"
	"sync/atomic"
	"time"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

const (
	leaderWait    = 1500 * time.Millisecond // a request waits this long for a leader to be found, about one takeover
	freshNews     = 700 * time.Millisecond  // of the leader, beside the age of its counts of waiting jobs
	lostTolerance = 2500 * time.Millisecond // without a leader, after which this daemon is not ready
	vouchPart     = 0.75                    // of the time within which a withdrawn key must stop to work
	selfReadAfter = 1100 * time.Millisecond // without word from the leader, a daemon reads the configuration itself
	staleRetryMS  = 1000                    // callers come back after this time when this daemon cannot serve them
)

// Result is the outcome of a Call. Sent says that the request may have reached a leader, so that an outcome
// without an answer is unknown.
type Result struct {
	Reply
	Answered bool
	Sent     bool
}

type requester interface {
	request(r Request, answer func(Reply))
}

// Call sends r to the leader and waits for its answer until ctx ends. When the leader changes, r is sent
// again: requests are idempotent by the job's ID.
func (n *Node) Call(ctx context.Context, r Request) Result {
	var res Result
	noLeader := time.Now().Add(leaderWait)
	for {
		to, changed := n.route()
		if to == nil {
			if !n.await(ctx, changed, noLeader) {
				return res
			}
			continue
		}
		res.Sent = true
		reply, ok := n.callOnce(ctx, to, r)
		if !ok {
			return res
		}
		if reply.Outcome != ibiscell.Moved {
			res.Reply, res.Answered = reply, true
			return res
		}
		if !n.sleep(ctx, seekPause/4) {
			return res
		}
		noLeader = time.Now().Add(leaderWait)
	}
}

func (n *Node) callOnce(ctx context.Context, to requester, r Request) (Reply, bool) {
	got := make(chan Reply, 1)
	var once atomic.Bool
	to.request(r, func(reply Reply) {
		if once.CompareAndSwap(false, true) {
			got <- reply
		}
	})
	select {
	case reply := <-got:
		return reply, true
	case <-ctx.Done():
		return Reply{}, false
	}
}

// await waits for a change of the leader; it reports false when the time is up.
func (n *Node) await(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// route returns where requests go now, or nil, and a channel that is closed when that changes.
func (n *Node) route() (requester, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.leader != nil:
		return n.leader, n.changed
	case n.follower != nil:
		return n.follower, n.changed
	}
	return nil, n.changed
}

// Waiting returns the number of accepted jobs of a queue of which no task has started; ok is false when that
// is not known well enough.
func (n *Node) Waiting(queue string) (count int, ok bool) {
	n.mu.Lock()
	t, f := n.leader, n.follower
	n.mu.Unlock()
	switch {
	case t != nil:
		t.mu.Lock()
		defer t.mu.Unlock()
		fresh := n.clock.Now()-t.waitingAt < (freshNews+freshCounts).Milliseconds()/2
		return t.waiting[queue], t.waiting != nil && fresh
	case f != nil:
		f.mu.Lock()
		defer f.mu.Unlock()
		fresh := n.clock.Now()-f.news.At < freshNews.Milliseconds() && f.news.Waiting != nil
		return f.news.Waiting[queue], fresh
	}
	return 0, false
}

// Ready reports whether this daemon can serve callers.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if n.cfg == nil || n.draining || now-n.vouchAt > n.vouchLimitMS() {
		return false
	}
	return n.leader != nil || n.follower != nil || now-n.lostAt < lostTolerance.Milliseconds()
}

// Config returns the configuration that this daemon goes by, or nil.
func (n *Node) Config() *ibisjob.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg
}

// Team returns the team of a key. Fresh is false when the keys may have changed without this daemon's
// knowledge, so that no key may be accepted.
func (n *Node) Team(key string) (team string, known, fresh bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	team, known = n.keys[key]
	return team, known, n.clock.Now()-n.vouchAt < n.vouchLimitMS()
}

func (n *Node) vouchLimitMS() int64 { return int64(vouchPart * float64(n.set.RevokeMS)) }

// vouch returns when the configuration was last confirmed, and its version.
func (n *Node) vouch() (at ibiscell.Time, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg != nil {
		version = n.cfg.Version
	}
	return n.vouchAt, version
}

// vouched takes the word that version was the newest at the given time.
func (n *Node) vouched(version int64, at ibiscell.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg != nil && n.cfg.Version >= version {
		n.vouchAt = max(n.vouchAt, at)
	}
}

// setConfig takes a configuration if it is newer than the present one.
func (n *Node) setConfig(cfg *ibisjob.Config, from string) {
	n.mu.Lock()
	if n.cfg != nil && cfg.Version <= n.cfg.Version {
		n.mu.Unlock()
		return
	}
	n.cfg = cfg
	n.keys = make(map[string]string)
	for _, t := range cfg.Teams {
		for _, k := range t.Keys {
			n.keys[k] = t.Name
		}
	}
	t := n.leader
	n.mu.Unlock()
	n.log.WithField("Version", cfg.Version).WithField("From", from).Info("ConfigApplied")
	if t != nil {
		t.configChanged(cfg)
	}
}

// readConfig reads the configuration from the platform.
func (n *Node) readConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := n.clock.Now()
	cfg, err := n.directory.Config(ctx)
	if err != nil {
		n.lost("Config", err)
		return
	}
	n.regained("Config")
	if cfg == nil {
		return
	}
	n.setConfig(cfg, "Table")
	n.vouched(cfg.Version, began)
}

// keepConfig reads the configuration while no leader vouches for it.
func (n *Node) keepConfig(ctx context.Context) {
	for n.sleep(ctx, configEvery/2) {
		if n.leading() != nil {
			continue
		}
		if at, _ := n.vouch(); n.clock.Now()-at > selfReadAfter.Milliseconds() {
			n.readConfig(ctx)
		}
	}
}

// RetryMS is the time after which callers may come back that this daemon cannot serve now.
func (n *Node) RetryMS() int64 { return staleRetryMS }
