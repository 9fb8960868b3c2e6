package ibisnode

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisrpc"
)

const (
	linkTimeout = 700 * time.Millisecond // to open a link
	pingEvery   = 250 * time.Millisecond
	pongTimeout = 700 * time.Millisecond // without a pong: the leader counts as lost
)

// link is the leader's end of a link to another daemon.
type link struct {
	member
	out    *outbox
	pingAt atomic.Int64 // of the last ping, on the node's clock

	leaving atomic.Bool // the other end is being stopped
}

// serveLink serves a link that another daemon has opened.
func (n *Node) serveLink(_ context.Context, s ibisrpc.Stream[frame]) error {
	f, err := s.Recv()
	if err != nil {
		return err
	}
	t := n.leading()
	if f.Hello == nil || t == nil || f.Hello.Epoch > t.row.Epoch {
		if known := n.knownLeader(); known.Epoch > 0 {
			if err := s.Send(&frame{Leader: &known}); err != nil {
				return err
			}
		}
		return Error.New("this daemon does not lead")
	}
	l := &link{member: f.Hello.Member, out: newOutbox()}
	l.pingAt.Store(n.clock.Now())
	t.join(l)
	defer t.leave(l)
	go l.out.run(s.Send)
	if cfg := n.Config(); cfg != nil {
		l.out.put(&frame{Config: cfg})
	}
	received := make(chan error, 1)
	go func() {
		for {
			f, err := s.Recv()
			if err != nil {
				received <- err
				return
			}
			t.take(l, f)
		}
	}()
	select {
	case err := <-received:
		return err
	case <-t.done:
		return Error.New("the term is over")
	}
}

func (t *term) join(l *link) {
	t.mu.Lock()
	t.links[l] = true
	delete(t.unreached, l.Name)
	t.mu.Unlock()
	t.log.WithField("Peer", l.Name).Info("LinkOpened")
	t.shareHelpers()
}

func (t *term) leave(l *link) {
	t.mu.Lock()
	delete(t.links, l)
	t.mu.Unlock()
	l.out.close()
	t.log.WithField("Peer", l.Name).Info("LinkClosed")
	if t.ctx.Err() == nil {
		go t.probe(l.member)
	}
	t.shareHelpers()
}

// shareHelpers tells the engine which daemons can call the advice service.
func (t *term) shareHelpers() {
	names := []string{t.n.set.Name}
	t.mu.Lock()
	t.membersChanged = true
	for l := range t.links {
		names = append(names, l.Name)
	}
	t.mu.Unlock()
	slices.Sort(names)
	names = slices.Compact(names)
	t.event(func(e *ibiscell.Engine) { e.SetHelpers(t.n.clock.Now(), names) })
}

// take handles a message of a linked daemon.
func (t *term) take(l *link, f *frame) {
	for _, r := range f.Requests {
		t.request(r, func(reply Reply) {
			reply.N = r.N
			l.out.put(&frame{Replies: []Reply{reply}})
		})
	}
	for _, a := range f.Advised {
		t.advised(a)
	}
	if f.Ping != nil {
		l.pingAt.Store(t.n.clock.Now())
		l.leaving.Store(f.Ping.Leaving)
		l.out.put(&frame{Pong: t.pong(f.Ping)})
	}
}

func (t *term) pong(p *ping) *pong {
	now := t.n.clock.Now()
	vouched, version := t.n.vouch()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &pong{At: p.At, Version: version, VouchAgeMS: now - vouched, CommitAgeMS: now - t.commitAt.Load()}
	if now-t.waitingAt < freshCounts.Milliseconds() {
		out.Waiting = t.waiting
	}
	return out
}

// follower is the other end of a link: it carries this daemon's requests to the leader.
type follower struct {
	n      *Node
	leader leaderRow
	out    *outbox

	mu      sync.Mutex
	pending map[uint64]func(Reply)
	last    uint64
	closed  bool
	pongAt  ibiscell.Time
	news    pong
}

// request sends r to the leader. When the link breaks before the answer, answer gets Moved.
func (f *follower) request(r Request, answer func(Reply)) {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		answer(Reply{Outcome: ibiscell.Moved})
		return
	}
	f.last++
	r.N = f.last
	f.pending[r.N] = answer
	f.mu.Unlock()
	f.out.put(&frame{Requests: []Request{r}}) // when this fails, close answers
}

func (f *follower) close() {
	f.mu.Lock()
	all := f.pending
	f.pending, f.closed = nil, true
	f.mu.Unlock()
	f.out.close()
	for _, answer := range all {
		answer(Reply{Outcome: ibiscell.Moved})
	}
}

// follow keeps a link to the leader until it breaks or the leader falls silent. The result says whether the
// leader has asked this daemon to succeed it.
func (n *Node) follow(ctx context.Context, leader leaderRow) (linked bool, next *succeed) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, shut, err := ibisrpc.OpenLink[frame](ctx, leader.Address, linkTimeout)
	if err != nil {
		n.log.WithFields(log.Fields{"Leader": leader.Name, "Epoch": leader.Epoch}).WithError(err).Info("LinkRefused")
		return false, nil
	}
	defer shut()
	f := &follower{n: n, leader: leader, out: newOutbox(), pending: make(map[uint64]func(Reply)), pongAt: n.clock.Now()}
	f.news.At = f.pongAt // until the first pong, the leader is taken to be well
	f.out.put(&frame{Hello: &hello{Member: n.member(), Epoch: leader.Epoch}, Ping: f.ping()})
	frames, broken := make(chan *frame), make(chan error, 1)
	go func() {
		for {
			m, err := s.Recv()
			if err != nil {
				broken <- err
				return
			}
			select {
			case frames <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	go f.out.run(s.Send)
	defer f.close()
	defer n.setFollower(nil)
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	probed, probing := make(chan bool, 1), false
	for {
		select {
		case <-ctx.Done():
			return linked, nil
		case supplant := <-probed:
			probing = false
			if supplant {
				return linked, &succeed{Epoch: leader.Epoch}
			}
		case err := <-broken:
			n.log.WithFields(log.Fields{"Leader": leader.Name, "Linked": linked}).WithError(err).Warn("LeaderLost")
			return linked, nil
		case m := <-frames:
			if m.Leader != nil {
				n.learnLeader(*m.Leader)
				return linked, nil
			}
			if !linked {
				linked = true
				n.setFollower(f)
				n.log.WithFields(log.Fields{"Leader": leader.Name, "Epoch": leader.Epoch}).Info("LeaderFound")
			}
			f.take(ctx, m)
			if m.Succeed != nil && !n.isDraining() {
				return linked, m.Succeed
			}
		case <-tick.C:
			if age := n.clock.Now() - f.pongAt; age > pongTimeout.Milliseconds() {
				n.log.WithFields(log.Fields{"Leader": leader.Name, "SilentMS": age}).Warn("LeaderLost")
				return linked, nil
			}
			f.out.put(&frame{Ping: f.ping()})
			if linked && !probing {
				probing = true
				go func() { probed <- n.shouldSupplant(ctx, f) }()
			}
		}
	}
}

func (f *follower) ping() *ping {
	_, version := f.n.vouch()
	return &ping{At: f.n.clock.Now(), Version: version, Leaving: f.n.isDraining()}
}

// take handles a message of the leader.
func (f *follower) take(ctx context.Context, m *frame) {
	for _, r := range m.Replies {
		f.mu.Lock()
		answer := f.pending[r.N]
		delete(f.pending, r.N)
		f.mu.Unlock()
		if answer != nil {
			answer(r)
		}
	}
	for _, a := range m.Advise {
		go func() { f.out.put(&frame{Advised: []advised{f.n.callAdvice(ctx, a)}}) }()
	}
	if m.Members != nil {
		f.n.setMembers(m.Members)
	}
	if m.Config != nil {
		f.n.setConfig(m.Config, "Leader")
	}
	if p := m.Pong; p != nil {
		f.mu.Lock()
		f.pongAt, f.news = f.n.clock.Now(), *p
		f.mu.Unlock()
		f.n.vouched(p.Version, p.At-p.VouchAgeMS)
	}
}

// callAdvice makes one call to the advice service.
func (n *Node) callAdvice(ctx context.Context, c ibiscell.Advise) advised {
	n.advising.Lock() // the service handles one call of a VM at a time
	defer n.advising.Unlock()
	ctx, cancel := context.WithTimeout(ctx, adviseTimeout)
	defer cancel()
	approved, valid, err := n.advisor.Advise(ctx, c.Step, c.Servers)
	if err != nil {
		n.log.WithField("Step", c.Step).WithError(err).Info("AdviceCallFailed")
		return advised{ID: c.ID}
	}
	return advised{ID: c.ID, Approved: approved, ValidMS: valid, OK: true}
}
