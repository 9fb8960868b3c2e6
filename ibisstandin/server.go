package ibisstandin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

const (
	// DefaultRetainRecords is the default of ServerConfig.RetainRecords.
	DefaultRetainRecords = 20_000

	maxPollWaitMS  = 30_000
	maxPollRecords = 1000
	maxPollBytes   = 16 << 20
)

// ServerConfig configures a backend server.
type ServerConfig struct {
	Name          string
	FailureDomain string
	Rack          string
	Capacity      ibiswork.Resources
	ClockStartMS  int64 // initial reading of its own clock, which is independent of the wall clock
	UsageLagMS    int64 // from the start of a task to its first usage report
	RetainRecords int   // records of ended tasks to keep at most; zero means DefaultRetainRecords
}

// ServerFaults are the faults to inject into a backend server. The zero value injects none.
type ServerFaults struct {
	FailAll     bool    `json:"FailAll"`     // every task that starts fails after 5 ms
	Freeze      bool    `json:"Freeze"`      // calls block and take effect once the server is unfrozen; tasks keep running
	DelayMS     int64   `json:"DelayMS"`     // delay before each call takes effect
	LoseReplies int     `json:"LoseReplies"` // number of calls, other than polls, that are processed but get no reply
	UsageFactor float64 `json:"UsageFactor"` // multiplies the reported CPU and memory usage; zero reports it unchanged
}

// Server simulates a backend server. It enforces epochs, leases and start-by times, but not its capacity, which its
// owner must respect: it counts overcommitments instead. It implements ibisserver.Server; of the faults, direct calls
// are subject only to FailAll and UsageFactor, and calls over HTTP to all. It is safe for use by several goroutines.
type Server struct {
	cfg ServerConfig
	clk Clock

	mu           sync.Mutex
	clockBase    time.Time // when the server's clock read clockStartMS
	clockStartMS int64
	epoch        int64
	owner        string
	tasks        map[ibisserver.TaskID]*task
	due          taskHeap      // running tasks by the time of their next change; ended ones until they reach the top
	ended        []*task       // in the order in which they ended; forgotten ones stay until they reach the front
	retained     int           // number of ended tasks that are not forgotten
	changeLog    []change      // in order of seq
	seq          int64         // of the last change of any record
	changed      chan struct{} // closed and replaced at every change, to wake the polls
	used         ibiswork.Resources
	stats        ServerStats
	history      []Entry
	faults       ServerFaults
	unfrozen     chan struct{} // open while the server is frozen, otherwise closed
	timerAt      int64         // when the timer is due, by the server's clock
	stopTimer    func() bool
	closed       bool
}

var _ ibisserver.Server = (*Server)(nil)

// NewServer creates a backend server. A nil clk means the system clock. The returned function stops the timer of the
// server and unblocks frozen calls.
func NewServer(cfg ServerConfig, clk Clock) (*Server, func()) {
	if cfg.RetainRecords == 0 {
		cfg.RetainRecords = DefaultRetainRecords
	}
	s := &Server{cfg: cfg, clk: clockOrSystem(clk), changed: make(chan struct{}), unfrozen: make(chan struct{})}
	close(s.unfrozen)
	s.reset(cfg.ClockStartMS)
	return s, s.close
}

// reset returns the server to the state after the start of its VM: without tasks or owner. The history and the
// counters are kept.
func (s *Server) reset(clockMS int64) {
	s.clockBase, s.clockStartMS = s.clk.Now(), clockMS
	s.epoch, s.owner = 0, ""
	s.tasks = map[ibisserver.TaskID]*task{}
	s.due, s.ended, s.retained, s.changeLog, s.timerAt = nil, nil, 0, nil, 0
	s.used, s.stats.Running = ibiswork.Resources{}, 0
}

func (s *Server) close() {
	s.SetFaults(ServerFaults{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.stopTimer != nil {
		s.stopTimer()
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// now returns the server's own clock in milliseconds. The caller holds mu.
func (s *Server) now() int64 { return s.clockStartMS + s.clk.Now().Sub(s.clockBase).Milliseconds() }

// Clock returns the server's own clock in milliseconds.
func (s *Server) Clock() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now()
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && !s.faults.Freeze {
		s.unfrozen = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.unfrozen)
	}
	s.faults = f
}

// Faults returns the current faults. LoseReplies is the number of replies still to be lost.
func (s *Server) Faults() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// LoseVM simulates that the VM is lost and a new one is started: all running tasks end as Lost, and the server has no
// tasks and no owner. Its clock continues from clockMS, in milliseconds.
func (s *Server) LoseVM(clockMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	for _, t := range s.tasks {
		if t.rec.State == ibisserver.Running {
			t.rec.State = Lost
			s.stats.Ends++
			s.appendHistory(t, End, now, now)
		}
	}
	s.reset(clockMS)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Claim makes the caller the owner and returns all records. It fails with Fenced if the epoch is below the highest
// seen, or equal to it but from another owner, and with Rejected if the request is invalid.
func (s *Server) Claim(_ context.Context, r ibisserver.ClaimRequest) (ibisserver.ClaimReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := ibisserver.ClaimReply{Clock: s.advance(), Epoch: s.epoch, Seq: s.seq}
	switch {
	case r.Epoch < 1 || r.Owner == "":
		return reply, s.reject(ibisserver.BadRequest,
			fmt.Sprintf("a claim needs an epoch above zero and an owner, not epoch %d and owner %q", r.Epoch, r.Owner))
	case r.Epoch < s.epoch || (r.Epoch == s.epoch && r.Owner != s.owner):
		return reply, s.rejectStaleEpoch()
	}
	if r.Epoch > s.epoch {
		s.epoch, s.owner = r.Epoch, r.Owner
		close(s.changed) // end the polls of the previous owner
		s.changed = make(chan struct{})
	}
	reply.Epoch = s.epoch
	reply.Server, reply.FailureDomain, reply.Rack = s.cfg.Name, s.cfg.FailureDomain, s.cfg.Rack
	reply.Capacity = s.cfg.Capacity
	reply.Records = s.allRecords()
	return reply, nil
}

// allRecords returns all records, ordered by their last change.
func (s *Server) allRecords() []ibisserver.Record {
	records := make([]ibisserver.Record, 0, len(s.tasks))
	for _, t := range s.tasks {
		records = append(records, t.rec)
	}
	slices.SortFunc(records, func(a, b ibisserver.Record) int { return int(a.Seq - b.Seq) })
	return records
}

// Start starts a task. If the server already has a record of it, nothing is started and the reply holds that record,
// even if the start-by time has passed. Start fails with Fenced or Rejected.
func (s *Server) Start(_ context.Context, r ibisserver.StartRequest) (ibisserver.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if err := s.checkEpoch(r.Epoch); err != nil {
		return s.reply(now), err
	}
	if t := s.tasks[r.Task.ID]; t != nil {
		s.stats.DuplicateStarts++
		return s.reply(now, t), nil
	}
	switch {
	case r.Task.ID.Request == "" || r.Task.ID.Attempt < 1 || r.Task.Resources.Check() != nil:
		return s.reply(now), s.reject(ibisserver.BadRequest,
			"the task needs a request ID, an attempt above zero and no negative resources")
	case r.StartBy < now:
		return s.reply(now), s.reject(ibisserver.StartByPassed,
			fmt.Sprintf("the start-by time %d ms has passed: the server clock is %d ms", r.StartBy, now))
	case r.LeaseEnd <= now:
		return s.reply(now), s.reject(ibisserver.LeaseEnded,
			fmt.Sprintf("the lease expired at %d ms: the server clock is %d ms", r.LeaseEnd, now))
	}
	t := s.startTask(r, now)
	return s.reply(now, t), nil
}

// startTask creates the record of a task and schedules its end. The caller holds mu.
func (s *Server) startTask(r ibisserver.StartRequest, now int64) *task {
	t := &task{plan: newPlan(r.Task, s.cfg.Name)}
	if s.faults.FailAll {
		t.plan.fail, t.plan.runMS = true, failAllRunMS
	}
	t.rec = ibisserver.Record{Task: r.Task, State: ibisserver.Running, StartedAt: now, LeaseEnd: r.LeaseEnd}
	t.rec.Task.Payload = nil
	if t.plan.runMS != unlimitedRunMS {
		t.endAt = now + t.plan.runMS
	}
	t.usageAt = now + max(s.cfg.UsageLagMS, 1)
	s.tasks[r.Task.ID] = t
	s.used = s.used.Add(r.Task.Resources)
	s.stats.Peak = s.stats.Peak.Max(s.used)
	if !s.used.FitsIn(s.cfg.Capacity) {
		s.stats.Overcommitments++
	}
	s.stats.Starts++
	s.stats.Running++
	s.appendHistory(t, Start, now, now)
	s.markChanged(t)
	s.schedule(t)
	s.armTimer(now)
	return t
}

// Renew extends leases and never shortens one. The reply holds the records of those tasks that the server has on
// record. Renew fails with Fenced or Rejected.
func (s *Server) Renew(_ context.Context, r ibisserver.RenewRequest) (ibisserver.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if err := s.checkEpoch(r.Epoch); err != nil {
		return s.reply(now), err
	}
	var found []*task
	for _, l := range r.Leases {
		t := s.tasks[l.ID]
		if t == nil {
			continue
		}
		if t.rec.State == ibisserver.Running {
			t.rec.LeaseEnd = max(t.rec.LeaseEnd, l.End)
		}
		found = append(found, t)
	}
	return s.reply(now, found...), nil
}

// Control applies an action to tasks. The reply holds the records of those tasks that the server has on record
// afterwards. Control fails with Fenced or Rejected.
func (s *Server) Control(_ context.Context, r ibisserver.ControlRequest) (ibisserver.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if err := s.checkEpoch(r.Epoch); err != nil {
		return s.reply(now), err
	}
	switch r.Action {
	case ibisserver.Stop, ibisserver.Checkpoint, ibisserver.Throttle, ibisserver.Forget:
	default:
		return s.reply(now), s.reject(ibisserver.BadRequest, fmt.Sprintf("unknown action %q", r.Action))
	}
	var found []*task
	for _, id := range r.Tasks {
		if t := s.applyAction(r.Action, id, now); t != nil {
			found = append(found, t)
		}
	}
	return s.reply(now, found...), nil
}

// applyAction applies an action to one task. It returns the task, or nil if the server has no record of it
// afterwards.
func (s *Server) applyAction(action ibisserver.Action, id ibisserver.TaskID, now int64) *task {
	t := s.tasks[id]
	if t == nil {
		if action == ibisserver.Stop {
			return s.addTombstone(id, now)
		}
		return nil
	}
	running := t.rec.State == ibisserver.Running
	switch {
	case action == ibisserver.Forget && !running:
		s.forget(t)
		return nil
	case action == ibisserver.Stop && running:
		s.end(t, ibisserver.Stopped, now, now)
	case action == ibisserver.Checkpoint && running:
		s.checkpoint(t, now)
	case action == ibisserver.Throttle && running:
		t.rec.Throttled = true
		s.markChanged(t)
	}
	return t
}

// addTombstone adds a Stopped record of a task that never started, so that a start that arrives later has no effect.
func (s *Server) addTombstone(id ibisserver.TaskID, now int64) *task {
	t := &task{rec: ibisserver.Record{Task: ibisserver.Task{ID: id}, State: ibisserver.Stopped, EndedAt: now}}
	s.tasks[id] = t
	s.retain(t)
	s.markChanged(t)
	return t
}

// Poll waits until a record changes, the wait has passed or ctx ends, and returns the changed records. It fails with
// Fenced as soon as the server is claimed with a higher epoch, and with Rejected if it was not claimed with this one.
func (s *Server) Poll(ctx context.Context, r ibisserver.PollRequest) (ibisserver.Reply, error) {
	timedOut := make(chan struct{})
	stop := s.clk.AfterFunc(time.Duration(min(r.WaitMS, maxPollWaitMS))*time.Millisecond, func() { close(timedOut) })
	defer stop()
	for waiting := r.WaitMS > 0; ; {
		reply, changed, err := s.pollOnce(r)
		if err != nil || len(reply.Records) > 0 || !waiting {
			return reply, err
		}
		select {
		case <-changed:
		case <-timedOut:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// pollOnce returns the reply to a poll that doesn't wait, and a channel that is closed at the next change.
func (s *Server) pollOnce(r ibisserver.PollRequest) (ibisserver.Reply, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if err := s.checkEpoch(r.Epoch); err != nil {
		return s.reply(now), s.changed, err
	}
	records, seq := s.changesAfter(r.After)
	return ibisserver.Reply{Clock: now, Seq: seq, Records: records}, s.changed, nil
}

// checkEpoch returns an error unless epoch is the one that the server was last claimed with.
func (s *Server) checkEpoch(epoch int64) error {
	switch {
	case epoch < s.epoch:
		return s.rejectStaleEpoch()
	case epoch > s.epoch || epoch < 1:
		return s.reject(ibisserver.NotClaimed,
			fmt.Sprintf("the server has not been claimed with epoch %d, but with %d (zero for none)", epoch, s.epoch))
	}
	return nil
}

// rejectStaleEpoch counts a refused call and returns its error, which states the highest epoch seen.
func (s *Server) rejectStaleEpoch() error {
	s.stats.Fenced++
	return ibisserver.Fenced.Wrap(&ibisserver.EpochError{Highest: s.epoch})
}

// reject counts a refused call and returns its error.
func (s *Server) reject(reason ibisserver.Reason, message string) error {
	s.stats.Rejected++
	return ibisserver.Rejected.Wrap(&ibisserver.RejectError{Reason: reason, Message: message})
}

func (s *Server) reply(now int64, tasks ...*task) ibisserver.Reply {
	r := ibisserver.Reply{Clock: now, Seq: s.seq}
	for _, t := range tasks {
		r.Records = append(r.Records, t.rec)
	}
	return r
}
