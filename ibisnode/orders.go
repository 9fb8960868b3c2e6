package ibisnode

import (
	"ibiscrank/ibiscell"
)

// orders is a set of calls to backend servers that the leader has a relay make. They are numbered from First, in the
// order of the three lists.
type orders struct {
	_        struct{}          `cbor:",toarray"`
	Epoch    int64             // of the leader
	At       ibiscell.Time     // when they were issued, on the leader's clock
	First    uint64            // number of the first order, unique on the link
	Targets  []ibiscell.Target // servers that orders on this link refer to from now on, by index
	Specs    []string          // of the jobs that Starts refer to, by index
	Renewals []renewOrder
	Starts   []startOrder
	Stops    []stopOrder
}

// renewOrder is an ibiscell.Renew.
type renewOrder struct {
	_          struct{} `cbor:",toarray"`
	Target     int      // index of a target that the link has carried
	Fence      int64    // number of the fencing token within the epoch
	LeaseEndMS int64
	Acked      int64
	WaitMS     int64
}

// startOrder is an ibiscell.Start.
type startOrder struct {
	_          struct{} `cbor:",toarray"`
	Target     int      // index of a target that the link has carried
	Task       string
	Run        int64
	Spec       int // index in orders.Specs
	LeaseEndMS int64
	Fence      int64 // as in renewOrder
	Checkpoint string
	Ticket     string
}

// stopOrder is an ibiscell.Stop.
type stopOrder struct {
	_      struct{} `cbor:",toarray"`
	Target int      // index of a target that the link has carried
	Task   string
	Run    int64
	Fence  int64 // as in renewOrder
}

func (o *orders) count() int { return len(o.Renewals) + len(o.Starts) + len(o.Stops) }

// orderResult is the outcome of one order. Report is set for a renewal that has succeeded.
type orderResult struct {
	_       struct{} `cbor:",toarray"`
	N       uint64
	Outcome ibiscell.OrderOutcome
	ClockMS int64 // of a server that has answered a start
	Report  *reportRecord
}

// reportRecord is an ibiscell.Report without what the leader knows from its order. On the link, Running holds only what
// distinguishes it from the last report on that target: runs that are new or have a new checkpoint.
type reportRecord struct {
	_           struct{} `cbor:",toarray"`
	Target      int      // index of a target that the link has carried
	Incarnation int64
	ClockMS     int64
	Running     []runningRecord
	Dropped     []int // indexes in the last report's Running of those that are left out now, ascending
	Ended       []endedRecord
}

type runningRecord struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int64
	Checkpoint string
}

type endedRecord struct {
	_          struct{} `cbor:",toarray"`
	N          int64
	Task       string
	Run        int64
	Outcome    ibiscell.RunOutcome
	Checkpoint string
}

func newReportRecord(target int, r *ibiscell.Report) *reportRecord {
	rec := &reportRecord{Target: target, Incarnation: r.Target.Incarnation, ClockMS: r.ClockMS}
	for _, run := range r.Running {
		rec.Running = append(rec.Running, runningRecord{Task: run.Name.Task, Run: run.Name.Run, Checkpoint: run.Checkpoint})
	}
	for _, end := range r.Ended {
		rec.Ended = append(rec.Ended, endedRecord{N: end.N, Task: end.Name.Task, Run: end.Name.Run, Outcome: end.Outcome, Checkpoint: end.Checkpoint})
	}
	return rec
}

// reduce reduces r to what distinguishes it from the last report, which contained base, and returns what r contains
// after expand.
func (r *reportRecord) reduce(base []runningRecord) []runningRecord {
	now := make(map[runningRecord]bool, len(r.Running))
	for _, run := range r.Running {
		now[run] = true
	}
	kept := make([]runningRecord, 0, len(r.Running))
	for n, run := range base {
		if now[run] {
			kept = append(kept, run)
			delete(now, run)
			continue
		}
		r.Dropped = append(r.Dropped, n)
	}
	added := r.Running[:0]
	for _, run := range r.Running {
		if now[run] {
			added = append(added, run)
		}
	}
	r.Running = added
	return append(kept, added...)
}

// expand is the reverse of reduce. It returns the new base.
func (r *reportRecord) expand(base []runningRecord) []runningRecord {
	kept := make([]runningRecord, 0, len(base)+len(r.Running))
	dropped := r.Dropped
	for n, run := range base {
		if len(dropped) > 0 && dropped[0] == n {
			dropped = dropped[1:]
			continue
		}
		kept = append(kept, run)
	}
	r.Running = append(kept, r.Running...)
	return r.Running
}

// report returns the report of the server that c was sent to, at the given time.
func (r *reportRecord) report(c *ibiscell.Renew, sentAt ibiscell.Time) ibiscell.Report {
	rep := ibiscell.Report{Target: c.Target, Fence: c.Fence, SentAt: sentAt, ClockMS: r.ClockMS}
	rep.Target.Incarnation = r.Incarnation
	for _, run := range r.Running {
		rep.Running = append(rep.Running, ibiscell.ActiveRun{Name: ibiscell.RunName{Task: run.Task, Run: run.Run}, Checkpoint: run.Checkpoint})
	}
	for _, end := range r.Ended {
		rep.Ended = append(rep.Ended, ibiscell.RunEnd{N: end.N, Name: ibiscell.RunName{Task: end.Task, Run: end.Run}, Outcome: end.Outcome, Checkpoint: end.Checkpoint})
	}
	return rep
}

// ordersWriter collects the orders of one round for one relay.
type ordersWriter struct {
	orders orders
	specs  map[string]int
	link   *link

	renewals, starts, stops []ibiscell.Command
}

func newOrdersWriter(l *link, epoch int64, at ibiscell.Time) *ordersWriter {
	return &ordersWriter{link: l, orders: orders{Epoch: epoch, At: at}, specs: make(map[string]int)}
}

// add adds a Start, Stop or Renew command.
func (w *ordersWriter) add(c ibiscell.Command) {
	switch c := c.(type) {
	case ibiscell.Renew:
		w.renewals = append(w.renewals, c)
		w.orders.Renewals = append(w.orders.Renewals, renewOrder{Target: w.target(c.Target), Fence: w.fence(c.Fence), LeaseEndMS: c.LeaseEndMS, Acked: c.Acked, WaitMS: c.WaitMS})
	case ibiscell.Start:
		w.starts = append(w.starts, c)
		spec, ok := w.specs[c.Spec]
		if !ok {
			spec = len(w.orders.Specs)
			w.orders.Specs = append(w.orders.Specs, c.Spec)
			w.specs[c.Spec] = spec
		}
		w.orders.Starts = append(w.orders.Starts, startOrder{
			Target: w.target(c.Target), Task: c.Name.Task, Run: c.Name.Run, Spec: spec, LeaseEndMS: c.LeaseEndMS,
			Fence: w.fence(c.Fence), Checkpoint: c.Checkpoint, Ticket: c.Ticket,
		})
	case ibiscell.Stop:
		w.stops = append(w.stops, c)
		w.orders.Stops = append(w.orders.Stops, stopOrder{Target: w.target(c.Target), Task: c.Name.Task, Run: c.Name.Run, Fence: w.fence(c.Fence)})
	}
}

// fence returns the number of a fencing token within the epoch.
func (w *ordersWriter) fence(token int64) int64 {
	return token - ibiscell.FencingToken(w.orders.Epoch, 0)
}

// target returns the index of a target on the link, and names it to the relay if it is new there.
func (w *ordersWriter) target(t ibiscell.Target) int {
	n, ok := w.link.targets[t]
	if !ok {
		n = len(w.link.targets)
		w.link.targets[t] = n
		w.orders.Targets = append(w.orders.Targets, t)
	}
	return n
}

// commands returns the commands in the order of their numbers.
func (w *ordersWriter) commands() []ibiscell.Command {
	return append(append(w.renewals, w.starts...), w.stops...)
}
