package ibisnode

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"ibiscrank/ibiscell"
)

const (
	idleTickInterval     = 15 * time.Millisecond   // between ticks of the engine without events
	busyTickDelay        = 4 * time.Millisecond    // from an event to the next tick
	heartbeatInterval    = 250 * time.Millisecond  // between commits without changes, which show that the leader is alive
	serversInterval      = 400 * time.Millisecond  // between reads of the server list; to see one leave within 500 ms
	configInterval       = 500 * time.Millisecond  // between reads of the configuration, which must apply within 2 s
	readTimeout          = 2 * time.Second         // of one read of the servers; a slow table answers in 0.3 to 0.8 s
	configReadTimeout    = 20 * time.Second        // of one read of the configuration that goes on arriving: 4 MB take 17 s over 2 Mbit/s
	loadInterval         = time.Second             // between log lines of the cell's load
	maxCountsAge         = 1500 * time.Millisecond // of the counts of waiting jobs, which may be shown for 2 s
	transferCheckReports = 3                       // load reports between checks for a much stronger VM
	maxPendingEvents     = 8192                    // queue of events for the engine
	commitRetryDelay     = 60 * time.Millisecond   // after a commit that has failed
	commitCheckTimeout   = 500 * time.Millisecond  // of the read that checks for a commit; a silent table isn't waited for as long as a slow one
	slowCommitTimeout    = 1500 * time.Millisecond // after a commit on a slow table began, before it is sent again
	commitFailingAfter   = 300 * time.Millisecond  // after a commit began, from when callers are refused at once while it fails
	adviseTimeout        = 5 * time.Second         // of one call; the longest takes about 1.2 s
	renewTimeout         = 700 * time.Millisecond  // of a lease renewal, on top of its long poll
	orderTimeout         = 600 * time.Millisecond  // of a start or stop, which is answered within a few milliseconds
)

// errDeposed reports that another daemon has acquired leadership.
var errDeposed = errors.New("another daemon has acquired leadership")

// term is the period in which this daemon leads the cell. One goroutine owns the engine; others execute its
// commands against the platform and return the results to it as events.
type term struct {
	n       *Node
	ctx     context.Context
	cancel  context.CancelFunc
	log     log.Interface
	row     leaderRow // as last sent to the table; changed by the committing goroutine only
	version int64     // of the leader row in the table; owned by the committing goroutine
	events  chan func(*ibiscell.Engine)
	batches chan *ibiscell.Batch // to the committing goroutine
	done    chan struct{}        // closed when the term is over

	journal      map[journalKey]int // sizes of the rows of the journal, in bytes; owned by the committing goroutine
	journalBytes atomic.Int64       // their sum

	startedAt    ibiscell.Time
	relays       relaySet
	scout        scoutState
	scoutFresh   atomic.Bool      // the scout reads the servers and the configuration
	traffic      map[string]int64 // counters of bytes as last logged
	commitAt     atomic.Int64     // of the last commit, on the node's clock
	commitBegan  atomic.Int64     // the same of its beginning
	steppingDown atomic.Bool      // leadership is to be given up with the next commit

	changesToConfig changeEncoder
	configParts     chan struct{} // has an element for each part of the configuration that is on its way
	configWanted    chan struct{} // the scout has seen a newer configuration

	mu             sync.Mutex
	links          map[*link]bool
	unreached      map[string]ibiscell.Time // when the link of a daemon closed that may still be running, by name
	waitingJobs    map[string]int           // accepted jobs without a started task, by queue
	countedAt      ibiscell.Time            // when waitingJobs were counted
	countedQueues  []string                 // keys of waitingJobs, sorted
	loadReports    int                      // number of calls of reportLoad
	refused        map[string]int           // refused submissions by reason, as of the last report; owned by the engine's goroutine
	membersChanged bool                     // since the members were last sent to the linked daemons
	knownMembers   map[string]member        // as last sent, by name
	pending        map[uint64]func(Reply)   // requests without an answer, by their ID in the engine
	lastRequestID  uint64
	changes        linkChanges              // since the last report
	openLoggedAt   map[string]ibiscell.Time // of the last LinkOpened, by daemon
}

// enqueue queues fn for the engine's goroutine; it reports false when the term is over.
func (t *term) enqueue(fn func(*ibiscell.Engine)) bool {
	select {
	case t.events <- fn:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// request passes a caller's request to the engine. When the term ends before the engine answers, answer is
// called with NotLeader.
func (t *term) request(r Request, answer func(Reply)) {
	t.mu.Lock()
	t.lastRequestID++
	id := t.lastRequestID
	t.pending[id] = answer
	t.mu.Unlock()
	ok := t.enqueue(func(e *ibiscell.Engine) {
		now := t.n.clock.Now()
		switch r.Kind {
		case Submit:
			e.Submit(now, id, *r.Job)
		case Cancel:
			e.Cancel(now, id, r.ID)
		default:
			e.Status(now, id, r.ID)
		}
	})
	if !ok {
		t.answer(ibiscell.Answer{To: id, Outcome: ibiscell.NotLeader})
	}
}

func (t *term) answer(a ibiscell.Answer) {
	t.mu.Lock()
	fn := t.pending[a.To]
	delete(t.pending, a.To)
	t.mu.Unlock()
	if fn != nil {
		fn(Reply{Outcome: a.Outcome, RetryMS: a.RetryMS, State: a.State})
	}
}

// answerNotLeader answers all pending requests with NotLeader, so that they go to the next leader.
func (t *term) answerNotLeader() {
	t.mu.Lock()
	unanswered := t.pending
	t.pending = make(map[uint64]func(Reply))
	t.mu.Unlock()
	for _, fn := range unanswered {
		fn(Reply{Outcome: ibiscell.NotLeader})
	}
}

// run is the goroutine that owns the engine, until the term is over.
func (t *term) run(e *ibiscell.Engine) {
	tick := time.NewTimer(0)
	defer tick.Stop()
	var loadAt, linksAt, tickAt ibiscell.Time
	idle := true
	for {
		select {
		case <-t.ctx.Done():
			return
		case fn := <-t.events:
			fn(e)
			t.drainEvents(e)
			if idle { // a burst of events shares one tick
				idle = false
				tick.Reset(busyTickDelay)
			}
		case <-tick.C:
			idle = true
			tick.Reset(idleTickInterval)
		}
		now := t.n.clock.Now()
		if idle || now-tickAt >= busyTickDelay.Milliseconds() {
			tickAt = now
			e.SetUnixTime(now, t.n.clock.UnixMS())
			e.Tick(now)
		}
		t.dispatch(e.Commands())
		t.offerBatch(e, now)
		if now-loadAt > loadInterval.Milliseconds() {
			loadAt = now
			t.reportLoad(e)
		}
		if now-linksAt > pingInterval.Milliseconds() {
			linksAt = now
			t.checkLinks()
			t.updateRelays()
		} else if len(t.relays.held) > 0 {
			t.updateRelays()
		}
	}
}

// drainEvents applies the events that are already queued, so that one placement covers them all.
func (t *term) drainEvents(e *ibiscell.Engine) {
	for range maxPendingEvents {
		select {
		case fn := <-t.events:
			fn(e)
		default:
			return
		}
	}
}

// offerBatch passes uncommitted changes on to the committing goroutine, unless a batch is waiting there.
func (t *term) offerBatch(e *ibiscell.Engine, now ibiscell.Time) {
	if !e.HasUncommitted() || len(t.batches) > 0 {
		return
	}
	if b := e.TakeBatch(now); b != nil {
		t.batches <- b
	}
}

// execute executes one command of the engine.
func (t *term) execute(c ibiscell.Command) {
	switch c := c.(type) {
	case ibiscell.Answer:
		t.answer(c)
	case ibiscell.Start:
		go t.startRun(c)
	case ibiscell.Stop:
		go t.stopRun(c)
	case ibiscell.Renew:
		go t.renew(c)
	case ibiscell.Advise:
		t.advise(c)
	case ibiscell.Deposed:
		t.log.WithField("Epoch", c.Epoch).Warn("FencedByServer")
		t.requestEnd()
	}
}

func (t *term) startRun(c ibiscell.Start) {
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	reply := t.n.servers.Start(ctx, c)
	metrics.GetOrRegisterCounter("OrdersStart", t.n.registry).Inc(1)
	t.enqueue(func(e *ibiscell.Engine) { e.Started(t.n.clock.Now(), c.Target, c.Name, c.Fence, reply) })
}

func (t *term) stopRun(c ibiscell.Stop) {
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	outcome := t.n.servers.Stop(ctx, c)
	metrics.GetOrRegisterCounter("OrdersStop", t.n.registry).Inc(1)
	t.enqueue(func(e *ibiscell.Engine) { e.Stopped(t.n.clock.Now(), c.Target, c.Name, c.Fence, outcome) })
}

// renew renews the leases of one backend server and passes its report on to the engine.
func (t *term) renew(c ibiscell.Renew) {
	ctx, cancel := context.WithTimeout(t.ctx, renewTimeout+time.Duration(c.WaitMS)*time.Millisecond)
	defer cancel()
	sentAt := t.n.clock.Now()
	report, outcome := t.n.servers.Renew(ctx, c)
	metrics.GetOrRegisterCounter("OrdersHold", t.n.registry).Inc(1)
	t.enqueue(func(e *ibiscell.Engine) {
		if outcome != ibiscell.OrderDone {
			e.RenewFailed(t.n.clock.Now(), c.Target, c.Fence, outcome)
			return
		}
		report.Fence, report.SentAt = c.Fence, sentAt
		e.Renewed(t.n.clock.Now(), report)
	})
}

// advise has the daemon that the engine has chosen as helper call the advice service. Without a link to it,
// the call fails.
func (t *term) advise(c ibiscell.Advise) {
	if c.Helper == t.n.settings.Name {
		go func() {
			a := t.n.callAdvice(t.ctx, c)
			t.handleAdvice(a)
		}()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for l := range t.links {
		if l.Name == c.Helper && l.out.put(&frame{Advise: []ibiscell.Advise{c}}) {
			return
		}
	}
	go t.handleAdvice(adviceResult{ID: c.ID})
}

func (t *term) handleAdvice(a adviceResult) {
	t.enqueue(func(e *ibiscell.Engine) { e.AdviceReceived(t.n.clock.Now(), a.ID, a.Approved, a.ValidMS, a.OK) })
}

// commitLoop commits batches, and heartbeats when there is none, until the term is over.
func (t *term) commitLoop() {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		var b *ibiscell.Batch
		select {
		case <-t.ctx.Done():
			return
		case b = <-t.batches:
		case <-heartbeat.C:
		}
		if err := t.commit(b); err != nil {
			return
		}
		if t.steppingDown.Load() {
			t.stepDown()
			return
		}
		heartbeat.Reset(heartbeatInterval)
	}
}

// stepDown clears the leader's name in the row, so that another daemon can acquire leadership at once, and
// ends the term.
func (t *term) stepDown() {
	t.row.Name, t.row.Address = "", ""
	if err := t.commit(nil); err != nil {
		t.log.WithError(err).Info("LeadNotVacated")
	}
	t.requestEnd()
}

// commit writes the leader row together with b (nil for a heartbeat) and retries until it is certain that they
// were written once. Each commit changes the row that it is conditional on, so that an earlier attempt that
// arrives late has no effect.
func (t *term) commit(b *ibiscell.Batch) error {
	t.row.Seq++
	if !t.n.recovering.Load() {
		t.row.SilentMS = 0
	}
	value, err := cbor.Marshal(t.row)
	if err != nil {
		return Error.Wrap(err)
	}
	tx := Tx{Partition: cellPartition, Table: tableLeader, Key: leaderKey, Value: value}
	if b != nil {
		tx.Puts, tx.Removes = b.Puts, b.Removes
	}
	began, beganAt := time.Now(), t.n.clock.Now()
	for attempt := 0; ; attempt++ {
		tx.Expected = t.version
		version, err := t.n.commitOnce(t.ctx, tx, attempt)
		if err == nil {
			t.version = version
			return t.commitDone(b, began, beganAt)
		}
		if Unknown.Has(err) && t.findCommitted(began) {
			return t.commitDone(b, began, beganAt)
		}
		if done, err := t.resolveFailure(err); err != nil {
			t.requestEnd()
			return err
		} else if done {
			return t.commitDone(b, began, beganAt)
		}
		if t.ctx.Err() != nil {
			return Error.Wrap(t.ctx.Err())
		}
		if attempt > 0 { // a reset connection fails at once, whereas a lost reply has used up its timeout
			t.n.sleep(t.ctx, commitRetryDelay)
		}
		if time.Since(began) > commitFailingAfter {
			t.n.dependencyLost("Commit", err)
			t.enqueue(func(e *ibiscell.Engine) { e.CommitRetrying(t.n.clock.Now()) })
		}
	}
}

// journalKey names a row of the journal.
type journalKey struct{ table, key string }

// trackJournal records rows of the journal that have been written and removed.
func (t *term) trackJournal(puts, removes []ibiscell.Row) {
	var change int
	for _, r := range puts {
		k := journalKey{r.Table, r.Key}
		change += len(r.Value) - t.journal[k]
		t.journal[k] = len(r.Value)
	}
	for _, r := range removes {
		k := journalKey{r.Table, r.Key}
		change -= t.journal[k]
		delete(t.journal, k)
	}
	t.journalBytes.Add(int64(change))
}

// findCommitted reads the leader row to find out whether a commit without a reply has taken effect. As long as
// reads are slow too, the commit is probably still queued at the table, and another attempt would only wait
// behind it.
func (t *term) findCommitted(began time.Time) bool {
	for time.Since(began) < slowCommitTimeout {
		readBegan := time.Now()
		ctx, cancel := context.WithTimeout(t.ctx, commitCheckTimeout)
		row, leader, err := t.n.readLeader(ctx)
		cancel()
		if err != nil {
			return false
		}
		if leader.Nonce == t.row.Nonce && leader.Seq == t.row.Seq {
			t.version = row.Version
			return true
		}
		if time.Since(readBegan) < slowReadThreshold {
			return false
		}
	}
	return false
}

// resolveFailure finds out from a failed commit whether an earlier attempt has taken effect. It returns an
// error when the term must end: another daemon leads, or the row can't be decoded.
func (t *term) resolveFailure(err error) (committed bool, _ error) {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		if Unavailable.Has(err) {
			t.n.sleep(t.ctx, commitRetryDelay)
		}
		return false, nil
	}
	var current leaderRow
	if conflict.Row.Version != 0 {
		if err := cbor.Unmarshal(conflict.Row.Value, &current); err != nil {
			return false, Error.Wrap(err)
		}
	}
	if current.Nonce != t.row.Nonce {
		t.log.WithFields(log.Fields{"Leader": current.Name, "Epoch": current.Epoch}).Warn("Deposed")
		return false, errDeposed
	}
	t.version = conflict.Row.Version
	return current.Seq == t.row.Seq, nil
}

// commitDone records a commit and tells the engine; began and beganAt are when its first attempt began.
func (t *term) commitDone(b *ibiscell.Batch, began time.Time, beganAt ibiscell.Time) error {
	t.n.dependencyBack("Commit")
	now := t.n.clock.Now()
	t.commitAt.Store(now)
	t.commitBegan.Store(beganAt)
	metrics.GetOrRegisterTimer("CommitTime", t.n.registry).UpdateSince(began)
	if b != nil {
		t.trackJournal(b.Puts, b.Removes)
	}
	t.enqueue(func(e *ibiscell.Engine) {
		if b == nil {
			e.WriteConfirmed(now, beganAt)
			return
		}
		e.Committed(t.n.clock.Now(), b)
	})
	return nil
}

// pollServers keeps the list of backend servers up to date.
func (t *term) pollServers() {
	for t.n.sleep(t.ctx, serversInterval) {
		if t.scoutFresh.Load() {
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
		reading, err := t.n.readFleet(ctx, t.n.clock.Now())
		cancel()
		if err != nil {
			t.n.dependencyLost("Servers", err)
			continue
		}
		t.n.dependencyBack("Servers")
		t.enqueue(func(e *ibiscell.Engine) {
			if !t.scout.fresh(t.n.clock.Now()) {
				t.setFleet(e, reading)
			}
		})
	}
}

// requestEnd makes the term end; it doesn't wait for that.
func (t *term) requestEnd() { t.cancel() }

// shutDown ends the term, answers the pending requests and closes the links.
func (t *term) shutDown() {
	t.cancel()
	t.mu.Lock()
	links := t.links
	t.links = make(map[*link]bool)
	t.mu.Unlock()
	t.answerNotLeader()
	for l := range links {
		l.out.close()
	}
	close(t.done)
}
