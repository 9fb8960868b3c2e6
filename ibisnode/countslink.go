package ibisnode

import (
	"maps"
	"slices"

	"ibiscrank/ibiscell"
)

// Pongs bring followers the counts of waiting jobs. Only those that have changed on a link are sent, in parts: a pong that
// waited for the counts of all queues would come too late, and the daemon would open another link.

const (
	// maxCountsBytes is the size of the counts that go with a pong. They take 16 ms on a link of 2 Mbit/s. No more are sent
	// on a link until its daemon has seen them, so that those on their way to 41 daemons at once, as in the incident LOST,
	// take a leader on 2 Mbit/s less than pongTimeout.
	maxCountsBytes = 4 << 10
	// maxShownCountsAge is the age up to which a count is shown. No pong younger than maxPongAge brings counts that were
	// older than maxCountsAge.
	maxShownCountsAge = maxCountsAge + maxPongAge
)

// countsPart says how many jobs wait in the queues from From on and before To, in the order of their names. The empty To is
// behind all names. Queues that are not listed have the count that was last sent on the link, at first 0.
type countsPart struct {
	At      ibiscell.Time `cbor:"1,keyasint"` // when they were counted, on the follower's clock, or a little earlier
	From    string        `cbor:"2,keyasint,omitempty"`
	To      string        `cbor:"3,keyasint,omitempty"`
	Changed []queueCount  `cbor:"4,keyasint,omitempty"` // ordered by name
}

// queueCount is the count of one queue. The names of neighbours mostly begin alike.
type queueCount struct {
	_      struct{} `cbor:",toarray"`
	Shared int      // number of bytes that the name shares with the one before
	Rest   []byte   // of the name
	Count  int
}

// size returns the number of bytes of c as CBOR.
func (c *queueCount) size() int {
	head := func(n int) int {
		switch {
		case n < 24:
			return 1
		case n < 1<<8:
			return 2
		case n < 1<<16:
			return 3
		}
		return 5
	}
	return 1 + head(c.Shared) + head(len(c.Rest)) + len(c.Rest) + head(c.Count)
}

// setCounts replaces the counts of waiting jobs. Queues without any more are kept as 0, so that linked daemons are told.
// The caller holds t.mu.
func (t *term) setCounts(counts map[string]int) {
	for q := range t.waitingJobs {
		counts[q] += 0
	}
	t.waitingJobs, t.countedAt = counts, t.n.clock.Now()
	t.countedQueues = slices.Sorted(maps.Keys(counts))
}

// newCounts returns the counts that go with the pong to p. Counts that are too old are left out.
func (t *term) newCounts(l *link, p *ping) []countsPart {
	now := t.n.clock.Now()
	t.mu.Lock()
	counts, queues, countedAt := t.waitingJobs, t.countedQueues, t.countedAt // not changed, only replaced
	t.mu.Unlock()
	if counts == nil || now-countedAt >= maxCountsAge.Milliseconds() {
		return nil
	}
	return []countsPart{l.counts.next(p, counts, queues, countedAt, p.At-(now-countedAt))}
}

// sentCounts is what a linked daemon has been sent of the counts of waiting jobs.
type sentCounts struct {
	told     map[string]int
	wholeAt  ibiscell.Time // count of which the daemon has all
	from     string        // start of the next part
	unseenAt ibiscell.Time // ping whose pong went with the last changes, on the follower's clock
}

// next returns the next part. It covers the queues up to the first change for which there is no room.
func (s *sentCounts) next(p *ping, counts map[string]int, queues []string, countedAt, at ibiscell.Time) countsPart {
	part := countsPart{At: at, From: s.from}
	if s.from == "" && s.wholeAt == countedAt {
		return part
	}
	s.from = ""
	seen := p.PongAt >= s.unseenAt
	size, before := 0, ""
	first, _ := slices.BinarySearch(queues, part.From)
	for _, q := range queues[first:] {
		if counts[q] == s.told[q] {
			continue
		}
		shared := sharedPrefix(before, q)
		c := queueCount{Shared: shared, Rest: []byte(q[shared:]), Count: counts[q]}
		size += c.size()
		if !seen || size > maxCountsBytes && len(part.Changed) > 0 {
			part.To, s.from = q, q
			return part
		}
		part.Changed = append(part.Changed, c)
		s.told[q], before = c.Count, q
		s.unseenAt = p.At
	}
	if part.From == "" {
		s.wholeAt = countedAt
	}
	return part
}

func sharedPrefix(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// shownCounts are the counts of waiting jobs that a follower has got on its link.
type shownCounts struct {
	counts map[string]int
	parts  []countsPart // what was counted when, without the counts; the newest last
}

// add adds a part. A part that can't be read is left out together with all later ones: they build on it.
func (s *shownCounts) add(p *countsPart, now ibiscell.Time) error {
	if s.counts == nil {
		return nil
	}
	queue := ""
	for _, c := range p.Changed {
		if c.Shared < 0 || c.Shared > len(queue) {
			s.counts, s.parts = nil, nil
			return Error.New("a name shares %d bytes with the %d of the one before", c.Shared, len(queue))
		}
		queue = queue[:c.Shared] + string(c.Rest)
		s.counts[queue] = c.Count
		if c.Count == 0 {
			delete(s.counts, queue)
		}
	}
	s.parts = slices.DeleteFunc(s.parts, func(o countsPart) bool {
		return p.From == "" && p.To == "" || now-o.At >= maxShownCountsAge.Milliseconds()
	})
	s.parts = append(s.parts, countsPart{At: p.At, From: p.From, To: p.To})
	return nil
}

// count returns the count of a queue; ok is false if it is unknown or too old.
func (s *shownCounts) count(queue string, now ibiscell.Time) (count int, ok bool) {
	for _, p := range slices.Backward(s.parts) {
		if queue >= p.From && (p.To == "" || queue < p.To) {
			return s.counts[queue], now-p.At < maxShownCountsAge.Milliseconds()
		}
	}
	return 0, false
}

// handleCounts handles the counts that came with a pong. The caller holds f.mu.
func (f *follower) handleCounts(parts []countsPart) {
	if len(parts) == 0 { // the leader's own are too old
		f.counts.parts = nil
	}
	for k := range parts {
		if err := f.counts.add(&parts[k], f.pongAt); err != nil {
			f.n.log.WithField("Leader", f.leader.Name).WithError(err).Warn("CountsDropped")
		}
	}
}
