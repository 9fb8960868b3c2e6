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
	"ibiscrank/ibisjob"
)

const (
	tickEvery     = 15 * time.Millisecond   // of the engine while nothing happens
	tickSoon      = 4 * time.Millisecond    // after an event
	beatEvery     = 250 * time.Millisecond  // between commits, so that others see a leader that is alive
	serversEvery  = 400 * time.Millisecond  // between reads of the list of backend servers; a leaving one is known within 500 ms
	configEvery   = 500 * time.Millisecond  // between reads of the configuration, which must apply within 2 s
	readTimeout   = 2 * time.Second         // of one read of the directory; a slow table answers in 0.3 to 0.8 s
	loadEvery     = time.Second             // between log lines of the cell's load
	freshCounts   = 1500 * time.Millisecond // of waiting jobs, which may be shown for 2 s
	handOverEvery = 3                       // reports of the load between looks for a much stronger VM
	eventBacklog  = 8192                    // events that wait for the engine
	commitPause   = 60 * time.Millisecond   // after a commit that was not carried out
	lookTimeout   = 500 * time.Millisecond  // of a look for a commit; a silent table is not waited for like a slow one
	slowCommit    = 1500 * time.Millisecond // of a commit to a slow table, before it is sent again
	failingAfter  = 300 * time.Millisecond  // without success, after which callers are refused at once
	adviseTimeout = 5 * time.Second         // of one call; the longest takes about 1.2 s
	holdTimeout   = 700 * time.Millisecond  // of a hold, beyond its wait
	orderTimeout  = 600 * time.Millisecond  // of an order, which is answered within a few milliseconds
)

// errDeposed says that another daemon leads.
var errDeposed = errors.New("another daemon leads")

// term is the time in which this daemon leads a cell. One goroutine owns the engine; the others carry its
// commands to the platform and bring the answers back as events.
type term struct {
	n       *Node
	ctx     context.Context
	stop    context.CancelFunc
	log     log.Interface
	row     leaderRow
	version int64 // of the leader's row; owned by the committing goroutine
	events  chan func(*ibiscell.Engine)
	batches chan *ibiscell.Batch
	done    chan struct{} // closed when the term is over

	commitAt atomic.Int64 // of the last commit, on the node's clock
	vacating atomic.Bool  // the lead is to be given up

	mu             sync.Mutex
	links          map[*link]bool
	unreached      map[string]bool // daemons whose links have broken, and that do not answer
	waiting        map[string]int  // jobs that wait, by queue
	waitingAt      ibiscell.Time
	reports        int
	membersChanged bool // since they were sent to the linked daemons
	answers        map[uint64]func(Reply)
	lastAsk        uint64
}

// event hands fn to the engine's goroutine; it reports false when the term is over.
func (t *term) event(fn func(*ibiscell.Engine)) bool {
	select {
	case t.events <- fn:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// request hands a caller's request to the engine. When the term is over before the answer, answer gets Moved.
func (t *term) request(r Request, answer func(Reply)) {
	t.mu.Lock()
	t.lastAsk++
	to := t.lastAsk
	t.answers[to] = answer
	t.mu.Unlock()
	ok := t.event(func(e *ibiscell.Engine) {
		now := t.n.clock.Now()
		switch r.Kind {
		case Submit:
			e.Submit(now, to, *r.Job)
		case Cancel:
			e.Cancel(now, to, r.ID)
		default:
			e.Status(now, to, r.ID)
		}
	})
	if !ok {
		t.answer(ibiscell.Answer{To: to, Outcome: ibiscell.Moved})
	}
}

func (t *term) answer(a ibiscell.Answer) {
	t.mu.Lock()
	fn := t.answers[a.To]
	delete(t.answers, a.To)
	t.mu.Unlock()
	if fn != nil {
		fn(Reply{Outcome: a.Outcome, RetryMS: a.RetryMS, State: a.State})
	}
}

// moveAll answers all that wait with Moved: the new leader is asked again.
func (t *term) moveAll() {
	t.mu.Lock()
	all := t.answers
	t.answers = make(map[uint64]func(Reply))
	t.mu.Unlock()
	for _, fn := range all {
		fn(Reply{Outcome: ibiscell.Moved})
	}
}

// run owns the engine until the term is over.
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
			t.drain(e)
			if idle { // events that come together share one tick
				idle = false
				tick.Reset(tickSoon)
			}
		case <-tick.C:
			idle = true
			tick.Reset(tickEvery)
		}
		now := t.n.clock.Now()
		if idle || now-tickAt >= tickSoon.Milliseconds() {
			tickAt = now
			e.SetUnixTime(now, t.n.clock.UnixMS())
			e.Tick(now)
		}
		for _, c := range e.Commands() {
			t.do(c)
		}
		t.offer(e, now)
		if now-loadAt > loadEvery.Milliseconds() {
			loadAt = now
			t.report(e)
		}
		if now-linksAt > pingEvery.Milliseconds() {
			linksAt = now
			t.checkLinks()
		}
	}
}

// drain runs the events that wait already, so that one placement serves them all.
func (t *term) drain(e *ibiscell.Engine) {
	for range eventBacklog {
		select {
		case fn := <-t.events:
			fn(e)
		default:
			return
		}
	}
}

func (t *term) offer(e *ibiscell.Engine, now ibiscell.Time) {
	if !e.Dirty() || len(t.batches) > 0 {
		return
	}
	if b := e.TakeBatch(now); b != nil {
		t.batches <- b
	}
}

func (t *term) report(e *ibiscell.Engine) {
	w := e.Waiting()
	t.mu.Lock()
	t.waiting, t.waitingAt = w, t.n.clock.Now()
	links := len(t.links)
	t.mu.Unlock()
	t.shareMembers()
	l := e.Load()
	t.log.WithFields(log.Fields{
		"Jobs": l.Jobs, "ReadySteps": l.ReadySteps, "Runs": l.Runs, "Servers": l.Servers, "Usable": l.Usable,
		"UsedMilliCPU": l.Used.MilliCPU, "CapacityMilliCPU": l.Capacity.MilliCPU, "Links": links, "Asks": l.Asks, "IdleHelpers": l.IdleHelpers, "BacklogMS": l.BacklogMS,
	}).Info("CellLoad")
	if t.reports++; t.reports%handOverEvery == 0 {
		t.handOver(t.n.set.Power / weakPower)
	}
	t.n.gauge("CellJobs", l.Jobs)
	t.n.gauge("CellRuns", l.Runs)
	t.n.gauge("CellServersUsable", l.Usable)
}

// do carries out one command of the engine.
func (t *term) do(c ibiscell.Command) {
	switch c := c.(type) {
	case ibiscell.Answer:
		t.answer(c)
	case ibiscell.Start:
		go t.start(c)
	case ibiscell.Stop:
		go t.stopRun(c)
	case ibiscell.Hold:
		go t.hold(c)
	case ibiscell.Advise:
		t.advise(c)
	case ibiscell.Deposed:
		t.log.WithField("Epoch", c.Epoch).Warn("FencedByServer")
		t.end()
	}
}

func (t *term) start(c ibiscell.Start) {
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	how := t.n.servers.Start(ctx, c)
	metrics.GetOrRegisterCounter("OrdersStart", t.n.registry).Inc(1)
	t.event(func(e *ibiscell.Engine) { e.Started(t.n.clock.Now(), c.Target, c.Name, how) })
}

func (t *term) stopRun(c ibiscell.Stop) {
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	how := t.n.servers.Stop(ctx, c)
	metrics.GetOrRegisterCounter("OrdersStop", t.n.registry).Inc(1)
	t.event(func(e *ibiscell.Engine) { e.Stopped(t.n.clock.Now(), c.Target, c.Name, how) })
}

func (t *term) hold(c ibiscell.Hold) {
	ctx, cancel := context.WithTimeout(t.ctx, holdTimeout+time.Duration(c.WaitMS)*time.Millisecond)
	defer cancel()
	sent := t.n.clock.Now()
	r, how := t.n.servers.Hold(ctx, c)
	metrics.GetOrRegisterCounter("OrdersHold", t.n.registry).Inc(1)
	t.event(func(e *ibiscell.Engine) {
		if how != ibiscell.OrderDone {
			e.HoldFailed(t.n.clock.Now(), c.Target, how)
			return
		}
		r.SentAt = sent
		e.Held(t.n.clock.Now(), r)
	})
}

// advise has the advice service asked by the helper that the engine has chosen.
func (t *term) advise(c ibiscell.Advise) {
	if c.Helper == t.n.set.Name {
		go func() {
			a := t.n.callAdvice(t.ctx, c)
			t.advised(a)
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
	go t.advised(advised{ID: c.ID})
}

func (t *term) advised(a advised) {
	t.event(func(e *ibiscell.Engine) { e.Advised(t.n.clock.Now(), a.ID, a.Approved, a.ValidMS, a.OK) })
}

// commits writes batches and beats until the term is over.
func (t *term) commits() {
	beat := time.NewTimer(beatEvery)
	defer beat.Stop()
	for {
		var b *ibiscell.Batch
		select {
		case <-t.ctx.Done():
			return
		case b = <-t.batches:
		case <-beat.C:
		}
		if err := t.commit(b); err != nil {
			return
		}
		if t.vacating.Load() {
			t.vacate()
			return
		}
		beat.Reset(beatEvery)
	}
}

// vacate writes that nobody leads, and ends the term.
func (t *term) vacate() {
	t.row.Name, t.row.Address = "", ""
	if err := t.commit(nil); err != nil {
		t.log.WithError(err).Info("LeadNotVacated")
	}
	t.end()
}

// commit writes the leader's row together with b, again until it is certain that this has been done once.
// Each commit changes the row that it is conditional on, so that an earlier try that is carried out late
// changes nothing.
func (t *term) commit(b *ibiscell.Batch) error {
	t.row.Seq++
	value, err := cbor.Marshal(t.row)
	if err != nil {
		return Error.Wrap(err)
	}
	tx := Tx{Part: cellPart, Table: tableLeader, Key: leaderKey, Value: value}
	if b != nil {
		tx.Puts, tx.Removes = b.Puts, b.Removes
	}
	began := time.Now()
	for try := 0; ; try++ {
		tx.Expected = t.version
		version, err := t.n.commit(t.ctx, tx, try)
		if err == nil {
			t.version = version
			return t.committed(b, began)
		}
		if Unknown.Has(err) && t.carriedOut(began) {
			return t.committed(b, began)
		}
		if done, err := t.settle(err); err != nil {
			t.end()
			return err
		} else if done {
			return t.committed(b, began)
		}
		if t.ctx.Err() != nil {
			return Error.Wrap(t.ctx.Err())
		}
		if try > 0 { // a reset answers at once; a lost reply has taken its time already
			t.n.sleep(t.ctx, commitPause)
		}
		if time.Since(began) > failingAfter {
			t.n.lost("Commit", err)
			t.event(func(e *ibiscell.Engine) { e.CommitFailing(t.n.clock.Now()) })
		}
	}
}

// carriedOut looks for a commit whose reply is late or lost. As long as the table is slow for reads too, the
// commit is probably on its way, and another try would only wait behind it.
func (t *term) carriedOut(began time.Time) bool {
	for time.Since(began) < slowCommit {
		asked := time.Now()
		ctx, cancel := context.WithTimeout(t.ctx, lookTimeout)
		row, leader, err := t.n.readLeader(ctx)
		cancel()
		if err != nil {
			return false
		}
		if leader.Nonce == t.row.Nonce && leader.Seq == t.row.Seq {
			t.version = row.Version
			return true
		}
		if time.Since(asked) < quickRead {
			return false
		}
	}
	return false
}

// settle finds out from a failed commit whether an earlier try has been carried out.
func (t *term) settle(err error) (done bool, _ error) {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		if Unavailable.Has(err) {
			t.n.sleep(t.ctx, commitPause)
		}
		return false, nil
	}
	var now leaderRow
	if conflict.Row.Version != 0 {
		if err := cbor.Unmarshal(conflict.Row.Value, &now); err != nil {
			return false, Error.Wrap(err)
		}
	}
	if now.Nonce != t.row.Nonce {
		t.log.WithFields(log.Fields{"Leader": now.Name, "Epoch": now.Epoch}).Warn("Deposed")
		return false, errDeposed
	}
	t.version = conflict.Row.Version
	return now.Seq == t.row.Seq, nil
}

func (t *term) committed(b *ibiscell.Batch, began time.Time) error {
	t.n.regained("Commit")
	now := t.n.clock.Now()
	t.commitAt.Store(now)
	metrics.GetOrRegisterTimer("CommitTime", t.n.registry).UpdateSince(began)
	t.event(func(e *ibiscell.Engine) {
		if b == nil {
			e.Confirmed(now)
			return
		}
		e.Committed(t.n.clock.Now(), b)
	})
	return nil
}

// followServers keeps the list of backend servers up to date.
func (t *term) followServers() {
	for t.n.sleep(t.ctx, serversEvery) {
		ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
		list, err := t.n.directory.Servers(ctx)
		cancel()
		if err != nil {
			t.n.lost("Servers", err)
			continue
		}
		t.n.regained("Servers")
		t.event(func(e *ibiscell.Engine) { e.SetServers(t.n.clock.Now(), list) })
	}
}

// followConfig keeps the configuration up to date.
func (t *term) followConfig() {
	for t.n.sleep(t.ctx, configEvery) {
		t.n.readConfig(t.ctx)
	}
}

// configChanged passes a newer configuration on to the engine and the linked daemons.
func (t *term) configChanged(cfg *ibisjob.Config) {
	t.event(func(e *ibiscell.Engine) { e.SetConfig(cfg) })
	t.mu.Lock()
	defer t.mu.Unlock()
	for l := range t.links {
		l.out.put(&frame{Config: cfg})
	}
}

// end ends the term; it does not wait.
func (t *term) end() { t.stop() }

// close ends the term and answers what still waits.
func (t *term) close() {
	t.stop()
	t.mu.Lock()
	links := t.links
	t.links = make(map[*link]bool)
	t.mu.Unlock()
	t.moveAll()
	for l := range links {
		l.out.close()
	}
	close(t.done)
}
