package ibisholder

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibisjournal"
	"ibiscrank/ibisshard"
	"ibiscrank/ibiswire"
)

// Intervals and limits of the control of shards.
const (
	controlInterval     = 500 * time.Millisecond
	rowsInterval        = 2 * time.Second // between reads of the shard rows, unless a wake-up comes first
	controlTimeout      = 5 * time.Second
	handoffDelay        = 5 * time.Second        // how long a shard must be assigned to another daemon before its handoff
	handoffIdleTimeout  = 800 * time.Millisecond // wait for the shard's interactive requests to end
	evictInterval       = 5 * time.Second
	maxHandoffsPerRound = 8
	answerRetention     = 30 * time.Second // age up to which answers held only in memory are handed off
	maxHandoffRecords   = 2048             // per shard
	maxDrainHandoffs    = 64               // concurrent, while the daemon drains
)

// Wake makes the control goroutine read the shard rows at once.
func (h *Holder) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// control acquires and releases shards according to the rows and the view, until the holder is stopped.
func (h *Holder) control() {
	defer h.wg.Done()
	c := &controller{h: h, reassignedSince: make(map[int]time.Time)}
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	for {
		woken := false
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
		case <-h.wake:
			woken = true
		}
		c.round(woken)
	}
}

// controller is the state of the control goroutine.
type controller struct {
	h                 *Holder
	rowsReadAt        time.Time
	evictedAt         time.Time
	reassignedSince   map[int]time.Time // by shard; since when it has been assigned to another daemon
	incarnationStates map[string]ibisincarnation.State
}

// round does one pass of control. woken makes it read the rows whenever they were last read.
func (c *controller) round(woken bool) {
	now := time.Now()
	if now.Sub(c.evictedAt) > evictInterval {
		c.evictedAt = now
		c.h.evictEnded(now)
	}
	if c.h.draining.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(c.h.ctx, controlTimeout)
	defer cancel()
	if woken || now.Sub(c.rowsReadAt) >= rowsInterval {
		if err := c.readRows(ctx); err != nil {
			return
		}
		c.rowsReadAt = now
		c.acquireAssigned(ctx)
	}
	c.handOffReassigned(ctx, now)
}

// readRows reads the shard rows, and then the states of the incarnations that hold them.
func (c *controller) readRows(ctx context.Context) error {
	rows, err := ibisshard.List(ctx, c.h.cfg.Table, c.h.cfg.Shards)
	if err != nil {
		return err
	}
	list, err := ibisincarnation.List(ctx, c.h.cfg.Table)
	if err != nil {
		return err
	}
	c.incarnationStates = make(map[string]ibisincarnation.State, len(list))
	for _, r := range list {
		c.incarnationStates[r.ID] = r.State
	}
	c.h.publishRows(rows)
	return nil
}

// publishRows stores rows that were read, except for those older than the stored ones, and drops the shards
// that have another holder.
func (h *Holder) publishRows(rows []ibisshard.Row) {
	h.rowsMu.Lock()
	defer h.rowsMu.Unlock()
	prev := *h.rows.Load()
	next := append([]ibisshard.Row(nil), rows...)
	for s := range next {
		if next[s].Version < prev[s].Version {
			next[s] = prev[s]
		}
		if next[s].Epoch > prev[s].Epoch && h.cfg.ShardAcquired != nil {
			h.cfg.ShardAcquired(s, next[s].Epoch)
		}
		if _, held := h.shards[s].held(); held && next[s].Holder != h.cfg.Self {
			h.shards[s].stopAndReset(shardNotHeld, next[s].Epoch)
			log.WithFields(log.Fields{"shard": s, "holder": next[s].Holder}).Warn("ShardLost")
		}
	}
	h.rows.Store(&next)
}

// setRow stores one row that this daemon has written.
func (h *Holder) setRow(row ibisshard.Row) {
	h.rowsMu.Lock()
	defer h.rowsMu.Unlock()
	next := append([]ibisshard.Row(nil), *h.rows.Load()...)
	next[row.Shard] = row
	h.rows.Store(&next)
	if h.cfg.ShardAcquired != nil {
		h.cfg.ShardAcquired(row.Shard, row.Epoch)
	}
}

// holderEnded reports whether the holder of a row can never write again. An incarnation without a row has
// ended: incarnation rows are deleted only after the end, and were read after the shard rows.
func (c *controller) holderEnded(holder string) bool {
	return holder == "" || c.incarnationStates[holder] != ibisincarnation.Live
}

// acquireAssigned acquires the shards that are assigned to this daemon and whose previous holder has ended.
func (c *controller) acquireAssigned(ctx context.Context) {
	h := c.h
	assigned := ibisshard.Assign(h.cfg.Shards, h.cfg.View().IDs())
	rows := *h.rows.Load()
	var acquirable []ibisshard.Row
	for s, row := range rows {
		// A row that names this daemon although the shard is not held here is left from a failed release. No
		// other daemon acquires such a shard while this one is live, so it is acquired whatever the
		// assignment.
		eligible := row.Holder == h.cfg.Self || assigned[s] == h.cfg.Self && c.holderEnded(row.Holder)
		if _, held := h.shards[s].held(); !held && eligible {
			acquirable = append(acquirable, row)
		}
	}
	if len(acquirable) == 0 {
		return
	}
	acquired, err := ibisshard.AcquireMany(ctx, h.cfg.Table, h.cfg.Fence, acquirable, h.cfg.Self)
	hint := &ibiswire.ShardsMoved{}
	for _, row := range acquired {
		hint.Acquired = append(hint.Acquired, ibiswire.Holder{Shard: row.Shard, Epoch: row.Epoch, Incarnation: h.cfg.Self})
	}
	h.broadcastShardsMoved(hint)
	log.WithField("shards", len(acquired)).Info("ShardsTaken")
	for _, row := range acquired {
		h.setRow(row)
		h.shards[row.Shard].stopAndReset(shardRecovering, row.Epoch)
		log.WithFields(log.Fields{"shard": row.Shard, "epoch": row.Epoch, "sources": len(row.Sources)}).Debug("ShardTaken")
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			h.recoverShard(row)
		}()
	}
	if err != nil {
		log.WithField("error", err).Warn("ShardsNotTaken")
	}
}

// handOffReassigned releases shards that have been assigned to another daemon for longer than handoffDelay,
// at most maxHandoffsPerRound in one round.
func (c *controller) handOffReassigned(ctx context.Context, now time.Time) {
	h := c.h
	assigned := ibisshard.Assign(h.cfg.Shards, h.cfg.View().IDs())
	var g errgroup.Group
	handoffs := 0
	for s, sh := range h.shards {
		if !sh.serving() || assigned[s] == h.cfg.Self || assigned[s] == "" {
			delete(c.reassignedSince, s)
			continue
		}
		since, ok := c.reassignedSince[s]
		if !ok {
			c.reassignedSince[s] = now
			continue
		}
		if now.Sub(since) > handoffDelay && handoffs < maxHandoffsPerRound {
			delete(c.reassignedSince, s)
			handoffs++
			g.Go(func() error {
				h.handOffShard(ctx, sh, handoffIdleTimeout)
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		log.WithField("error", err).Warn("ShardsNotHandedOver")
	}
}

// handOffShard releases a shard once its interactive requests have ended, and reports whether it was released.
// If they have not ended within idleTimeout, the shard stays in service.
func (h *Holder) handOffShard(ctx context.Context, sh *shard, idleTimeout time.Duration) bool {
	epoch, _ := sh.held()
	if !sh.setState(shardServing, shardHandingOff) {
		return false
	}
	if !sh.waitUntilIdle(ctx, idleTimeout) {
		sh.setState(shardHandingOff, shardServing)
		return false
	}
	sh.stop()
	row := (*h.rows.Load())[sh.id]
	err := h.saveForNextHolder(ctx, sh)
	if err == nil {
		row, err = ibisshard.Release(ctx, h.cfg.Table, h.cfg.Fence, row)
	}
	if err != nil {
		log.WithFields(log.Fields{"shard": sh.id, "error": err}).Warn("ShardNotReleased")
	} else {
		h.setRow(row)
		h.broadcastShardsMoved(&ibiswire.ShardsMoved{Released: []int{sh.id}})
		log.WithField("shard", sh.id).Debug("ShardReleased")
	}
	// The drivers have stopped, so the shard cannot stay in service even if the release failed. A row that
	// still names this daemon is acquired again with a higher epoch.
	sh.stopAndReset(shardNotHeld, epoch)
	return err == nil
}

// saveForNextHolder journals what is held only in memory, for the next holder: interactive requests that
// have not ended, and recent answers that callers may still ask for.
func (h *Holder) saveForNextHolder(ctx context.Context, sh *shard) error {
	answeredAfter := time.Now().Add(-answerRetention)
	var records []ibisjournal.Record
	for _, e := range sh.all() {
		e.mu.Lock()
		class := e.saved.Request.Class
		needed := e.requestKnown && !e.resubmittable.Load() && !class.Durable() && e.state() != stateAccepted && (e.state() != stateEnded || e.endedAt.After(answeredAfter))
		e.mu.Unlock()
		if !needed || len(records) >= maxHandoffRecords {
			continue
		}
		rec, err := h.newRecord(e)
		if err != nil {
			return err
		}
		records = append(records, rec)
	}
	if len(records) == 0 {
		return nil
	}
	return h.cfg.Journal.Append(ctx, records...)
}

// waitUntilIdle waits until every request that is held only in memory has ended and every durable one has been
// journalled or refused. It returns false if that takes longer than timeout or if ctx ends.
func (sh *shard) waitUntilIdle(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for _, e := range sh.all() {
		settled := e.done
		if e.isDurable() {
			settled = e.acceptanceDecided // the acceptance must be in the journal before the next holder reads it
		}
		select {
		case <-settled:
		case <-timer.C:
			e.logBlocksHandoff()
			return false
		case <-ctx.Done():
			e.logBlocksHandoff()
			return false
		}
	}
	return true
}

// logBlocksHandoff logs that e keeps its shard from being released.
func (e *entry) logBlocksHandoff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	log.WithFields(log.Fields{
		"shard": e.shard.id, "request": e.id, "state": e.state(), "class": e.saved.Request.Class, "attempt": e.saved.Attempt,
		"known": e.requestKnown, "owners": len(e.owners), "ageMS": time.Since(e.acceptedAt).Milliseconds(),
	}).Info("ShardNotQuiet")
}

func (e *entry) isDurable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.durable
}

// Drain refuses new requests, waits until the deadline of ctx for interactive requests in progress, and
// releases every shard. Without a deadline it waits for controlTimeout. It returns an error if shards are
// still served.
func (h *Holder) Drain(ctx context.Context) error {
	h.draining.Store(true)
	var g errgroup.Group
	g.SetLimit(maxDrainHandoffs)
	for _, sh := range h.shards {
		if sh.serving() {
			g.Go(func() error {
				h.handOffShard(ctx, sh, time.Until(deadlineOrDefault(ctx)))
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return Error.Wrap(err)
	}
	if n := h.Held(); n > 0 {
		return Error.New("%d shards could not be released", n)
	}
	return nil
}

func deadlineOrDefault(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(controlTimeout)
}

// Abandon drops every shard without writing to the table, after this incarnation was revoked. Waiting callers
// are told to retry, and so reach the new holders.
func (h *Holder) Abandon() {
	h.draining.Store(true)
	for _, sh := range h.shards {
		if epoch, held := sh.held(); held {
			sh.stopAndReset(shardNotHeld, epoch)
		}
	}
}
