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

// Times of the control of shards.
const (
	controlInterval = 500 * time.Millisecond
	rowsInterval    = 2 * time.Second // between reads of all rows while nothing has changed
	controlTimeout  = 5 * time.Second
	handoffAfter    = 5 * time.Second        // that another daemon has been the better holder
	handoffQuiet    = 800 * time.Millisecond // for interactive requests of the shard to end
	forgetInterval  = 5 * time.Second
	handoffsARound  = 8
	answersFor      = 30 * time.Second // that answers kept in memory alone are handed on
	maxAnswers      = 2048             // of one shard
	handoffsAtOnce  = 64               // of a daemon that drains
)

// Wake makes the control look at the shards at once.
func (h *Holder) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// control keeps the shards in step with the rows and the view, until the holder ends.
func (h *Holder) control() {
	defer h.wg.Done()
	c := &controller{h: h, better: make(map[int]time.Time)}
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
	h        *Holder
	rowsAt   time.Time
	forgotAt time.Time
	better   map[int]time.Time // since when another daemon is the assigned holder
	states   map[string]ibisincarnation.State
}

func (c *controller) round(woken bool) {
	now := time.Now()
	if now.Sub(c.forgotAt) > forgetInterval {
		c.forgotAt = now
		c.h.forgetEnded(now)
	}
	if c.h.draining.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(c.h.ctx, controlTimeout)
	defer cancel()
	if woken || now.Sub(c.rowsAt) >= rowsInterval {
		if err := c.read(ctx); err != nil {
			return
		}
		c.rowsAt = now
		c.take(ctx)
	}
	c.handOff(ctx, now)
}

// read brings the rows of shards up to date, then the states of the incarnations that hold them.
func (c *controller) read(ctx context.Context) error {
	rows, err := ibisshard.List(ctx, c.h.cfg.Table, c.h.cfg.Shards)
	if err != nil {
		return err
	}
	list, err := ibisincarnation.List(ctx, c.h.cfg.Table)
	if err != nil {
		return err
	}
	c.states = make(map[string]ibisincarnation.State, len(list))
	for _, r := range list {
		c.states[r.ID] = r.State
	}
	c.h.publishRows(rows)
	return nil
}

// publishRows makes rows known, and gives up the shards that others hold by them.
func (h *Holder) publishRows(rows []ibisshard.Row) {
	h.rowsMu.Lock()
	defer h.rowsMu.Unlock()
	old := *h.rows.Load()
	next := append([]ibisshard.Row(nil), rows...)
	for s := range next {
		if next[s].Version < old[s].Version {
			next[s] = old[s]
		}
		if next[s].Epoch > old[s].Epoch && h.cfg.ShardTaken != nil {
			h.cfg.ShardTaken(s, next[s].Epoch)
		}
		if _, held := h.shards[s].held(); held && next[s].Holder != h.cfg.Self {
			h.shards[s].become(absent, next[s].Epoch)
			log.WithFields(log.Fields{"shard": s, "holder": next[s].Holder}).Warn("ShardLost")
		}
	}
	h.rows.Store(&next)
}

// setRow publishes one row that this daemon has written.
func (h *Holder) setRow(row ibisshard.Row) {
	h.rowsMu.Lock()
	defer h.rowsMu.Unlock()
	next := append([]ibisshard.Row(nil), *h.rows.Load()...)
	next[row.Shard] = row
	h.rows.Store(&next)
	if h.cfg.ShardTaken != nil {
		h.cfg.ShardTaken(row.Shard, row.Epoch)
	}
}

// over reports whether the holder of a row can never write again. An incarnation without a row has ended:
// rows are cleared away only after that, and they were read after the shard's.
func (c *controller) over(holder string) bool {
	return holder == "" || c.states[holder] != ibisincarnation.Live
}

// take becomes the holder of the shards that are assigned to this daemon and whose holder is over.
func (c *controller) take(ctx context.Context) {
	h := c.h
	assigned := ibisshard.Assign(h.cfg.Shards, h.cfg.View().IDs())
	rows := *h.rows.Load()
	var free []ibisshard.Row
	for s, row := range rows {
		// A row that names this daemon although the shard is not held here is left over from a release that
		// failed. No other daemon takes such a shard, whoever it is assigned to.
		mine := row.Holder == h.cfg.Self || assigned[s] == h.cfg.Self && c.over(row.Holder)
		if _, held := h.shards[s].held(); !held && mine {
			free = append(free, row)
		}
	}
	if len(free) == 0 {
		return
	}
	taken, err := ibisshard.AcquireMany(ctx, h.cfg.Table, h.cfg.Fence, free, h.cfg.Self)
	hint := &ibiswire.ShardsMoved{}
	for _, row := range taken {
		hint.Taken = append(hint.Taken, ibiswire.Holder{Shard: row.Shard, Epoch: row.Epoch, Incarnation: h.cfg.Self})
	}
	h.tell(hint)
	log.WithField("shards", len(taken)).Info("ShardsTaken")
	for _, row := range taken {
		h.setRow(row)
		h.shards[row.Shard].become(reading, row.Epoch)
		log.WithFields(log.Fields{"shard": row.Shard, "epoch": row.Epoch, "sources": len(row.Sources)}).Debug("ShardTaken")
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			h.recover(row)
		}()
	}
	if err != nil {
		log.WithField("error", err).Warn("ShardsNotTaken")
	}
}

// handOff gives up, a few a round, the shards that have been assigned to another daemon for a while.
func (c *controller) handOff(ctx context.Context, now time.Time) {
	h := c.h
	assigned := ibisshard.Assign(h.cfg.Shards, h.cfg.View().IDs())
	var g errgroup.Group
	begun := 0
	for s, sh := range h.shards {
		if !sh.serving() || assigned[s] == h.cfg.Self || assigned[s] == "" {
			delete(c.better, s)
			continue
		}
		since, ok := c.better[s]
		if !ok {
			c.better[s] = now
			continue
		}
		if now.Sub(since) > handoffAfter && begun < handoffsARound {
			delete(c.better, s)
			begun++
			g.Go(func() error {
				h.handOff(ctx, sh, handoffQuiet)
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		log.WithField("error", err).Warn("ShardsNotHandedOver")
	}
}

// handOff gives up a shard after its interactive requests have ended, and reports whether it has.
func (h *Holder) handOff(ctx context.Context, sh *shard, quiet time.Duration) bool {
	epoch, _ := sh.held()
	if !sh.setState(serving, handing) {
		return false
	}
	if !sh.quiet(ctx, quiet) {
		sh.setState(handing, serving)
		return false
	}
	sh.stop()
	row := (*h.rows.Load())[sh.id]
	err := h.keepForNext(ctx, sh)
	if err == nil {
		row, err = ibisshard.Release(ctx, h.cfg.Table, h.cfg.Fence, row)
	}
	if err != nil {
		log.WithFields(log.Fields{"shard": sh.id, "error": err}).Warn("ShardNotReleased")
	} else {
		h.setRow(row)
		h.tell(&ibiswire.ShardsMoved{Released: []int{sh.id}})
		log.WithField("shard", sh.id).Debug("ShardReleased")
	}
	// Without the drivers this life of the shard is over either way; a row that still names this daemon is
	// taken again with a higher epoch.
	sh.become(absent, epoch)
	return err == nil
}

// keepForNext journals, for the next holder, what lives in memory alone: interactive requests that have
// not been started yet, and the answers that callers may still ask for.
func (h *Holder) keepForNext(ctx context.Context, sh *shard) error {
	since := time.Now().Add(-answersFor)
	var records []ibisjournal.Record
	for _, e := range sh.all() {
		e.mu.Lock()
		class := e.saved.Request.Class
		keep := e.known && !e.again.Load() && !class.Durable() && e.state() != stateAccepted && (e.state() != stateEnded || e.endedAt.After(since))
		e.mu.Unlock()
		if !keep || len(records) >= maxAnswers {
			continue
		}
		rec, err := h.record(e)
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

// quiet waits until the shard has no request in progress that lives in memory alone, and none whose
// acceptance is still being journalled.
func (sh *shard) quiet(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for _, e := range sh.all() {
		until := e.done
		if e.isDurable() {
			until = e.accept // its acceptance must be in the journal before another daemon reads that
		}
		select {
		case <-until:
		case <-timer.C:
			e.logWaiting()
			return false
		case <-ctx.Done():
			e.logWaiting()
			return false
		}
	}
	return true
}

// logWaiting says which request keeps its shard from being given up.
func (e *entry) logWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	log.WithFields(log.Fields{
		"shard": e.shard.id, "request": e.id, "state": e.state(), "class": e.saved.Request.Class, "attempt": e.saved.Attempt,
		"known": e.known, "owners": len(e.owners), "ageMS": time.Since(e.accepted).Milliseconds(),
	}).Info("ShardNotQuiet")
}

func (e *entry) isDurable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.durable
}

// Drain takes no new requests, waits for those in progress, and gives up every shard.
func (h *Holder) Drain(ctx context.Context) error {
	h.draining.Store(true)
	var g errgroup.Group
	g.SetLimit(handoffsAtOnce)
	for _, sh := range h.shards {
		if sh.serving() {
			g.Go(func() error {
				h.handOff(ctx, sh, time.Until(deadlineOf(ctx)))
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return Error.Wrap(err)
	}
	if n := h.Held(); n > 0 {
		return Error.New("%d shards could not be given up", n)
	}
	return nil
}

func deadlineOf(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(controlTimeout)
}

// Abandon gives up every shard without a word to the store, since this incarnation was revoked; callers
// that wait are sent to the new holders.
func (h *Holder) Abandon() {
	h.draining.Store(true)
	for _, sh := range h.shards {
		if epoch, held := sh.held(); held {
			sh.become(absent, epoch)
		}
	}
}
