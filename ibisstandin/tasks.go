package ibisstandin

import (
	"container/heap"
	"encoding/json"
	"sort"
	"time"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

const nsPerMS = int64(time.Millisecond)

// task is the record of one attempt and its schedule. All times are by the server's clock, in milliseconds.
type task struct {
	rec       ibisserver.Record
	plan      plan
	endAt     int64 // when it completes; zero for a service that runs until it is stopped
	usageAt   int64 // when its usage is first reported; zero once it has been
	dueAt     int64 // when it is due next; its key in the heap
	forgotten bool  // its record has been dropped
}

// nextDue returns the earliest time at which the running task changes.
func (t *task) nextDue() int64 {
	due := t.rec.LeaseEnd
	if t.endAt > 0 {
		due = min(due, t.endAt)
	}
	if t.usageAt > 0 {
		due = min(due, t.usageAt)
	}
	return due
}

// taskHeap is a min-heap of tasks by dueAt, for container/heap.
type taskHeap []*task

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h taskHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(*task)) }

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

// change is an entry of the change log: task t changed at seq. Later changes of t make it obsolete.
type change struct {
	seq int64
	t   *task
}

// advance processes everything that is due and returns the server's clock in milliseconds. The caller holds mu, as
// for every method of Server below.
func (s *Server) advance() int64 {
	now := s.now()
	for len(s.due) > 0 && s.due[0].dueAt <= now {
		t := heap.Pop(&s.due).(*task)
		if t.rec.State != ibisserver.Running {
			continue
		}
		s.processDue(t, now)
		if t.rec.State == ibisserver.Running {
			s.schedule(t)
		}
	}
	s.evict(now)
	s.armTimer(now)
	return now
}

// processDue processes what is due for one running task: its usage report, its completion or the end of its lease.
func (s *Server) processDue(t *task, now int64) {
	if t.usageAt > 0 && t.usageAt <= now {
		t.usageAt = 0
		t.rec.Usage = s.reportedUsage(t)
		s.markChanged(t)
	}
	switch {
	case t.endAt > 0 && t.endAt <= min(t.rec.LeaseEnd, now):
		s.finish(t, now)
	case t.rec.LeaseEnd <= now:
		s.stats.Expirations++
		s.end(t, ibisserver.Expired, t.rec.LeaseEnd, now)
	}
}

// finish ends a task that has reached its run time.
func (s *Server) finish(t *task, now int64) {
	if t.plan.fail {
		t.rec.Error = "the task failed"
		s.end(t, ibisserver.Failed, t.endAt, now)
		return
	}
	t.rec.Result = t.plan.result()
	s.end(t, ibisserver.Done, t.endAt, now)
}

// end ends a running task in the given state. The time of its end, endedAt, is not after now.
func (s *Server) end(t *task, state ibisserver.State, endedAt, now int64) {
	t.rec.State, t.rec.EndedAt = state, endedAt
	t.rec.Usage = s.reportedUsage(t)
	s.used = s.used.Sub(t.rec.Task.Resources)
	s.stats.Running--
	s.stats.Ends++
	s.appendHistory(t, End, endedAt, now)
	s.retain(t)
	s.markChanged(t)
}

// retain keeps the record of an ended task until evict drops it.
func (s *Server) retain(t *task) {
	s.ended = append(s.ended, t)
	s.retained++
}

// evict drops records of ended tasks that exceed the retention time or RetainRecords, oldest first.
func (s *Server) evict(now int64) {
	for len(s.ended) > 0 {
		t := s.ended[0]
		expired := now-t.rec.EndedAt > ibisserver.RecordRetentionMS
		if !t.forgotten && !expired && s.retained <= s.cfg.RetainRecords {
			return
		}
		s.forget(t)
		s.ended[0] = nil
		s.ended = s.ended[1:]
	}
}

// forget drops the record of an ended task.
func (s *Server) forget(t *task) {
	if t.forgotten {
		return
	}
	t.forgotten = true
	s.retained--
	delete(s.tasks, t.rec.Task.ID)
	t.rec.Result, t.rec.Checkpoint, t.rec.Task.Note = nil, nil, nil
}

// reportedUsage returns the usage that the server reports: the planned one, limited to the declared resources if the
// task is throttled, and multiplied by the UsageFactor fault.
func (s *Server) reportedUsage(t *task) ibiswork.Resources {
	u := t.plan.usage
	if t.rec.Throttled {
		u = u.Min(t.rec.Task.Resources)
	}
	if f := s.faults.UsageFactor; f > 0 {
		u.MilliCPU = int64(float64(u.MilliCPU) * f)
		u.MemoryMB = int64(float64(u.MemoryMB) * f)
	}
	return u
}

// checkpoint stores the progress of a running task in its record.
func (s *Server) checkpoint(t *task, now int64) {
	b, err := json.Marshal(t.plan.progress(now, now-t.rec.StartedAt))
	if err == nil { // a Progress is always encodable
		t.rec.Checkpoint = b
		s.markChanged(t)
	}
}

// Progress is the content of a checkpoint. It is the payload of the next attempt, which runs for the remaining time.
type Progress struct {
	Payload
	PayloadSum string `json:"PayloadSum"` // checksum of the request's original payload
	Clock      int64  `json:"Clock"`      // of the server, in milliseconds
	RanMS      int64  `json:"RanMS"`      // total of all attempts so far
}

// markChanged assigns the next sequence number to a changed record and wakes the polls.
func (s *Server) markChanged(t *task) {
	s.seq++
	t.rec.Seq = s.seq
	s.changeLog = append(s.changeLog, change{s.seq, t})
	if len(s.changeLog) > minCompactLength && len(s.changeLog) > 2*len(s.tasks) {
		s.compactChangeLog()
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// minCompactLength is the number of entries up to which the change log is not compacted.
const minCompactLength = 1024

// compactChangeLog removes obsolete entries.
func (s *Server) compactChangeLog() {
	latest := s.changeLog[:0]
	for _, c := range s.changeLog {
		if c.isLatest() {
			latest = append(latest, c)
		}
	}
	clear(s.changeLog[len(latest):])
	s.changeLog = latest
}

// isLatest reports whether c is the last change of its task and the task is not forgotten.
func (c change) isLatest() bool { return !c.t.forgotten && c.t.rec.Seq == c.seq }

// changesAfter returns the records that changed after seq, in order, and the sequence number up to which they are
// complete. The list ends early at maxPollRecords, or with the record whose result takes it above maxPollBytes.
func (s *Server) changesAfter(after int64) ([]ibisserver.Record, int64) {
	var records []ibisserver.Record
	size := 0
	i := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].seq > after })
	for _, c := range s.changeLog[i:] {
		if !c.isLatest() {
			continue
		}
		if len(records) == maxPollRecords || size > maxPollBytes {
			return records, records[len(records)-1].Seq
		}
		records = append(records, c.t.rec)
		size += len(c.t.rec.Result)
	}
	return records, s.seq
}

// schedule queues a running task for the next time at which it changes.
func (s *Server) schedule(t *task) {
	t.dueAt = t.nextDue()
	heap.Push(&s.due, t)
}

// armTimer sets the single timer of the server to the time at which the first task is due, unless it is already set to
// that time or an earlier one.
func (s *Server) armTimer(now int64) {
	if len(s.due) == 0 || s.closed || (s.timerAt > now && s.timerAt <= s.due[0].dueAt) {
		return
	}
	if s.stopTimer != nil {
		s.stopTimer()
	}
	s.timerAt = s.due[0].dueAt
	s.stopTimer = s.clk.AfterFunc(time.Duration((s.timerAt-now)*nsPerMS), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance()
	})
}
