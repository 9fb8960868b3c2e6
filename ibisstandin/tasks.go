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

// task is one record and what will become of it.
type task struct {
	rec     ibisserver.Record
	plan    plan
	endAt   int64 // zero for a service that runs until it is stopped
	usageAt int64 // zero once the usage has been reported
	at      int64 // when the task is due next, its key in the heap
	gone    bool  // forgotten
}

// next is when something happens to the running task.
func (t *task) next() int64 {
	at := t.rec.LeaseEnd
	if t.endAt > 0 {
		at = min(at, t.endAt)
	}
	if t.usageAt > 0 {
		at = min(at, t.usageAt)
	}
	return at
}

// taskHeap is a container/heap of tasks, the one due first on top.
type taskHeap []*task

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h taskHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(*task)) }

// Pop is for container/heap.
func (h *taskHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

// change says that a task had its last change, or an earlier one, at seq.
type change struct {
	seq int64
	t   *task
}

// advance carries out all that is due and returns the server's clock. The caller holds mu, as with every
// method below.
func (s *Server) advance() int64 {
	now := s.now()
	for len(s.due) > 0 && s.due[0].at <= now {
		t := heap.Pop(&s.due).(*task)
		if t.rec.State != ibisserver.Running {
			continue
		}
		s.step(t, now)
		if t.rec.State == ibisserver.Running {
			s.schedule(t)
		}
	}
	s.evict(now)
	s.arm(now)
	return now
}

// step carries out what is due for one running task.
func (s *Server) step(t *task, now int64) {
	if t.usageAt > 0 && t.usageAt <= now {
		t.usageAt = 0
		t.rec.Usage = s.measure(t)
		s.touch(t)
	}
	switch {
	case t.endAt > 0 && t.endAt <= min(t.rec.LeaseEnd, now):
		s.complete(t, now)
	case t.rec.LeaseEnd <= now:
		s.stats.Lapses++
		s.end(t, ibisserver.Expired, t.rec.LeaseEnd, now)
	}
}

func (s *Server) complete(t *task, now int64) {
	if t.plan.fail {
		t.rec.Error = "the task failed"
		s.end(t, ibisserver.Failed, t.endAt, now)
		return
	}
	t.rec.Result = t.plan.result()
	s.end(t, ibisserver.Done, t.endAt, now)
}

// end ends a running task at a moment that is not after now.
func (s *Server) end(t *task, state ibisserver.State, at, now int64) {
	t.rec.State, t.rec.EndedAt = state, at
	t.rec.Usage = s.measure(t)
	s.used = s.used.Sub(t.rec.Task.Resources)
	s.stats.Running--
	s.stats.Ends++
	s.note(t, End, at, now)
	s.retain(t)
	s.touch(t)
}

// retain keeps an ended task until evict drops it.
func (s *Server) retain(t *task) {
	s.ended = append(s.ended, t)
	s.kept++
}

// evict drops the records that are too old or too many.
func (s *Server) evict(now int64) {
	for len(s.ended) > 0 {
		t := s.ended[0]
		old := now-t.rec.EndedAt > ibisserver.RecordRetentionMS
		if !t.gone && !old && s.kept <= s.cfg.RetainRecords {
			return
		}
		s.forget(t)
		s.ended[0] = nil
		s.ended = s.ended[1:]
	}
}

// forget drops the record of an ended task.
func (s *Server) forget(t *task) {
	if t.gone {
		return
	}
	t.gone = true
	s.kept--
	delete(s.tasks, t.rec.Task.ID)
	t.rec.Result, t.rec.Checkpoint, t.rec.Task.Note = nil, nil, nil
}

// measure is the usage as the server reports it, which its faults may falsify.
func (s *Server) measure(t *task) ibiswork.Resources {
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

// checkpoint records the progress of a running task.
func (s *Server) checkpoint(t *task, now int64) {
	b, err := json.Marshal(t.plan.progress(now, now-t.rec.StartedAt))
	if err == nil {
		t.rec.Checkpoint = b
		s.touch(t)
	}
}

// Progress is the content of a checkpoint. It is the payload of the next attempt, which does what is left.
type Progress struct {
	Payload
	PayloadSum string `json:"PayloadSum"` // of the request's own payload
	Clock      int64  `json:"Clock"`      // of the server
	RanMS      int64  `json:"RanMS"`      // of all attempts so far
}

// touch gives a changed record the next sequence number and wakes the polls.
func (s *Server) touch(t *task) {
	s.seq++
	t.rec.Seq = s.seq
	s.log = append(s.log, change{s.seq, t})
	if len(s.log) > minLog && len(s.log) > 2*len(s.tasks) {
		s.compact()
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// minLog is the length below which the log of changes is not compacted.
const minLog = 1024

func (s *Server) compact() {
	kept := s.log[:0]
	for _, c := range s.log {
		if c.current() {
			kept = append(kept, c)
		}
	}
	clear(s.log[len(kept):])
	s.log = kept
}

func (c change) current() bool { return !c.t.gone && c.t.rec.Seq == c.seq }

// changes is the records changed after seq in order, and the sequence number up to which they are all.
func (s *Server) changes(after int64) ([]ibisserver.Record, int64) {
	var records []ibisserver.Record
	size := 0
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].seq > after })
	for _, c := range s.log[i:] {
		if !c.current() {
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

func (s *Server) schedule(t *task) {
	t.at = t.next()
	heap.Push(&s.due, t)
}

// arm makes the one timer of the server fire when the first task is due.
func (s *Server) arm(now int64) {
	if len(s.due) == 0 || s.closed || (s.armedAt > now && s.armedAt <= s.due[0].at) {
		return
	}
	if s.stopTimer != nil {
		s.stopTimer()
	}
	s.armedAt = s.due[0].at
	s.stopTimer = s.clk.AfterFunc(time.Duration((s.armedAt-now)*nsPerMS), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance()
	})
}
