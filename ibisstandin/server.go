package ibisstandin

import (
	"context"
	"slices"
	"sync"
	"time"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

const (
	// DefaultRetainRecords bounds the ended records of a server unless its configuration says otherwise.
	DefaultRetainRecords = 20_000

	maxPollWaitMS  = 30_000
	maxPollRecords = 1000
	maxPollBytes   = 16 << 20
)

// ServerConfig is what a backend server is told when it is made.
type ServerConfig struct {
	Name          string
	FailureDomain string
	Rack          string
	Capacity      ibiswork.Resources
	ClockStartMS  int64 // the reading of its own clock when it is made; it has nothing to do with the wall clock
	UsageLagMS    int64 // from the start of a task to its first report of usage
	RetainRecords int   // zero stands for DefaultRetainRecords
}

// ServerFaults are the faults of a backend server. The zero value is none.
type ServerFaults struct {
	FailAll     bool    `json:"FailAll"`     // each task that starts fails after 5 ms
	Freeze      bool    `json:"Freeze"`      // nothing is answered; tasks go on, and calls take effect at the thaw
	DelayMS     int64   `json:"DelayMS"`     // before each call takes effect
	LoseReplies int     `json:"LoseReplies"` // of the next calls other than polls, which take effect
	UsageFactor float64 `json:"UsageFactor"` // by which reported usage is falsified; zero is none
}

// Server is a backend server that enforces epochs, leases and start-by times but not its capacity, which
// is its owner's to keep: it records overcommitment instead. It is an ibisserver.Server itself; direct
// calls do not suffer the faults of its HTTP interface.
type Server struct {
	cfg ServerConfig
	clk Clock

	mu        sync.Mutex
	base      time.Time // when the clock read startMS
	startMS   int64
	epoch     int64
	owner     string
	tasks     map[ibisserver.TaskID]*task
	due       taskHeap
	ended     []*task  // in order of their ends, with forgotten ones until they come to the front
	kept      int      // ended tasks that are not forgotten
	log       []change // in order of seq
	seq       int64
	changed   chan struct{} // closed and replaced at every change
	used      ibiswork.Resources
	stats     ServerStats
	history   []Entry
	faults    ServerFaults
	thawed    chan struct{} // open while frozen
	armedAt   int64
	stopTimer func() bool
	closed    bool
}

var _ ibisserver.Server = (*Server)(nil)

// NewServer makes a backend server. A nil clk stands for the system's clock. The clean-up stops its timer
// and releases frozen calls.
func NewServer(cfg ServerConfig, clk Clock) (*Server, func()) {
	if cfg.RetainRecords == 0 {
		cfg.RetainRecords = DefaultRetainRecords
	}
	s := &Server{cfg: cfg, clk: orSystem(clk), changed: make(chan struct{}), thawed: make(chan struct{})}
	close(s.thawed)
	s.reset(cfg.ClockStartMS)
	return s, s.close
}

// reset empties the server, as after the start of its VM. What has been seen of it before stays in its
// history and its counts.
func (s *Server) reset(clockMS int64) {
	s.base, s.startMS = s.clk.Now(), clockMS
	s.epoch, s.owner = 0, ""
	s.tasks = map[ibisserver.TaskID]*task{}
	s.due, s.ended, s.kept, s.log, s.armedAt = nil, nil, 0, nil, 0
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

// now is the server's own clock in milliseconds.
func (s *Server) now() int64 { return s.startMS + s.clk.Now().Sub(s.base).Milliseconds() }

// Clock is a reading of the server's own clock in milliseconds.
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
		s.thawed = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = f
}

// Faults is the faults now, with the lost replies that are left.
func (s *Server) Faults() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// LoseVM ends all tasks as Lost and empties the server, as when its VM is lost and started anew. Its clock
// goes on from clockMS.
func (s *Server) LoseVM(clockMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	for _, t := range s.tasks {
		if t.rec.State == ibisserver.Running {
			t.rec.State = Lost
			s.stats.Ends++
			s.note(t, End, now, now)
		}
	}
	s.reset(clockMS)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Claim makes the caller the owner.
func (s *Server) Claim(_ context.Context, r ibisserver.ClaimRequest) (ibisserver.ClaimReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := ibisserver.ClaimReply{Clock: s.advance(), Epoch: s.epoch, Seq: s.seq}
	switch {
	case r.Epoch < 1 || r.Owner == "":
		return reply, s.reject(ibisserver.BadRequest, "a claim needs an epoch above zero and an owner")
	case r.Epoch < s.epoch || (r.Epoch == s.epoch && r.Owner != s.owner):
		return reply, s.fence()
	}
	if r.Epoch > s.epoch {
		s.epoch, s.owner = r.Epoch, r.Owner
		close(s.changed) // so that the former owner's polls end
		s.changed = make(chan struct{})
	}
	reply.Epoch = s.epoch
	reply.Server, reply.FailureDomain, reply.Rack = s.cfg.Name, s.cfg.FailureDomain, s.cfg.Rack
	reply.Capacity = s.cfg.Capacity
	reply.Records = s.all()
	return reply, nil
}

// all is every record in the order of its last change.
func (s *Server) all() []ibisserver.Record {
	records := make([]ibisserver.Record, 0, len(s.tasks))
	for _, t := range s.tasks {
		records = append(records, t.rec)
	}
	slices.SortFunc(records, func(a, b ibisserver.Record) int { return int(a.Seq - b.Seq) })
	return records
}

// Start starts a task, or answers with the record that it has of it.
func (s *Server) Start(_ context.Context, r ibisserver.StartRequest) (ibisserver.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if err := s.check(r.Epoch); err != nil {
		return s.reply(now), err
	}
	if t := s.tasks[r.Task.ID]; t != nil {
		s.stats.DuplicateStarts++
		return s.reply(now, t), nil
	}
	switch {
	case r.Task.ID.Request == "" || r.Task.ID.Attempt < 1 || r.Task.Resources.Check() != nil:
		return s.reply(now), s.reject(ibisserver.BadRequest, "not a task")
	case r.StartBy < now:
		return s.reply(now), s.reject(ibisserver.StartByPassed, "the start-by time has passed")
	case r.LeaseEnd <= now:
		return s.reply(now), s.reject(ibisserver.LeaseEnded, "the lease has ended")
	}
	t := s.begin(r, now)
	return s.reply(now, t), nil
}

// begin starts a task.
func (s *Server) begin(r ibisserver.StartRequest, now int64) *task {
	t := &task{plan: newPlan(r.Task, s.cfg.Name)}
	if s.faults.FailAll {
		t.plan.fail, t.plan.runMS = true, failAllRunMS
	}
	t.rec = ibisserver.Record{Task: r.Task, State: ibisserver.Running, StartedAt: now, LeaseEnd: r.LeaseEnd}
	t.rec.Task.Payload = nil
	if t.plan.runMS != forever {
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
	s.note(t, Start, now, now)
	s.touch(t)
	s.schedule(t)
	s.arm(now)
	return t
}

// Renew extends leases. The reply holds the records of those tasks that the server knows.
func (s *Server) Renew(_ context.Context, r ibisserver.RenewRequest) (ibisserver.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if err := s.check(r.Epoch); err != nil {
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

// Control applies an action to tasks. The reply holds the records of those tasks that the server still has.
func (s *Server) Control(_ context.Context, r ibisserver.ControlRequest) (ibisserver.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if err := s.check(r.Epoch); err != nil {
		return s.reply(now), err
	}
	switch r.Action {
	case ibisserver.Stop, ibisserver.Checkpoint, ibisserver.Throttle, ibisserver.Forget:
	default:
		return s.reply(now), s.reject(ibisserver.BadRequest, "no such action")
	}
	var found []*task
	for _, id := range r.Tasks {
		if t := s.act(r.Action, id, now); t != nil {
			found = append(found, t)
		}
	}
	return s.reply(now, found...), nil
}

// act applies an action to one task and returns the task when there is still a record of it.
func (s *Server) act(a ibisserver.Action, id ibisserver.TaskID, now int64) *task {
	t := s.tasks[id]
	if t == nil {
		if a == ibisserver.Stop {
			return s.bar(id, now)
		}
		return nil
	}
	running := t.rec.State == ibisserver.Running
	switch {
	case a == ibisserver.Forget && !running:
		s.forget(t)
		return nil
	case a == ibisserver.Stop && running:
		s.end(t, ibisserver.Stopped, now, now)
	case a == ibisserver.Checkpoint && running:
		s.checkpoint(t, now)
	case a == ibisserver.Throttle && running:
		t.rec.Throttled = true
		s.touch(t)
	}
	return t
}

// bar leaves a Stopped record of a task that never started, so that a late start finds it.
func (s *Server) bar(id ibisserver.TaskID, now int64) *task {
	t := &task{rec: ibisserver.Record{Task: ibisserver.Task{ID: id}, State: ibisserver.Stopped, EndedAt: now}}
	s.tasks[id] = t
	s.retain(t)
	s.touch(t)
	return t
}

// Poll waits for records that changed, or until the caller is no longer the owner.
func (s *Server) Poll(ctx context.Context, r ibisserver.PollRequest) (ibisserver.Reply, error) {
	expired := make(chan struct{})
	stop := s.clk.AfterFunc(time.Duration(min(r.WaitMS, maxPollWaitMS))*time.Millisecond, func() { close(expired) })
	defer stop()
	for waiting := r.WaitMS > 0; ; {
		reply, changed, err := s.peek(r)
		if err != nil || len(reply.Records) > 0 || !waiting {
			return reply, err
		}
		select {
		case <-changed:
		case <-expired:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// peek is what a poll would answer now, and the channel that tells of the next change.
func (s *Server) peek(r ibisserver.PollRequest) (ibisserver.Reply, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if err := s.check(r.Epoch); err != nil {
		return s.reply(now), s.changed, err
	}
	records, seq := s.changes(r.After)
	return ibisserver.Reply{Clock: now, Seq: seq, Records: records}, s.changed, nil
}

// check reports an epoch that is not the owner's.
func (s *Server) check(epoch int64) error {
	switch {
	case epoch < s.epoch:
		return s.fence()
	case epoch > s.epoch || epoch < 1:
		return s.reject(ibisserver.NotClaimed, "this epoch has not claimed the server")
	}
	return nil
}

func (s *Server) fence() error {
	s.stats.Fenced++
	return ibisserver.Fenced.Wrap(&ibisserver.EpochError{Highest: s.epoch})
}

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
