package ibisnode

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"google.golang.org/grpc/peer"

	"ibiscrank/ibiscell"
	"ibiscrank/ibislimit"
	"ibiscrank/ibisrpc"
)

const (
	linkOpenTimeout = 700 * time.Millisecond
	pingInterval    = 250 * time.Millisecond
	helloTimeout    = 5 * time.Second        // until a daemon that has connected has said hello
	maxHelloBytes   = 128 << 10              // of a connection until then; more than a stream may send before its first message is read
	pongTimeout     = 700 * time.Millisecond // time without a pong after which a follower drops the leader
)

// link is the leader's end of a link to another daemon.
type link struct {
	member
	out    *outbox
	pingAt atomic.Int64 // arrival of the last ping, on the node's clock

	draining atomic.Bool   // the other daemon is being stopped
	done     chan struct{} // closed with the link

	configVersion atomic.Int64   // of the other daemon's configuration
	sendingConfig atomic.Bool    // a goroutine sends it the configuration
	configAcks    chan configAck // to that goroutine

	toldMembers bool // the other daemon has been sent the list of members; guarded by term.mu
	logged      bool // its opening was logged, so that its end is too

	// Owned by the engine's goroutine.
	targets      map[ibiscell.Target]int // index of each server named to the relay
	failures     int                     // orders since the last one that a server answered
	failingSince ibiscell.Time           // first of failures
	asideUntil   ibiscell.Time           // the daemon isn't used as a relay before this time

	mu        sync.Mutex
	pending   map[uint64]pendingOrder // orders without an outcome, by number
	lastOrder uint64

	// Owned by the goroutine that reads the link.
	running    map[int][]runningRecord // what each server runs, by target
	counts     sentCounts
	countsLost bool // counts were dropped: those of the other daemon are unknown
}

func newLink(m member) *link {
	return &link{member: m, out: newOutbox(), done: make(chan struct{}), configAcks: make(chan configAck, maxConfigAcks), targets: make(map[ibiscell.Target]int), pending: make(map[uint64]pendingOrder), running: make(map[int][]runningRecord), counts: sentCounts{told: make(map[string]int)}}
}

// serveLink serves a link that another daemon has opened. A daemon that doesn't lead, or leads with a lower epoch
// than the hello requires, answers with the latest leader that it knows of.
func (n *Node) serveLink(ctx context.Context, s ibisrpc.Stream[frame], listener *ibislimit.Listener) error {
	f, err := s.Recv()
	if err != nil {
		return err
	}
	t := n.currentTerm()
	if f.Hello == nil || t == nil || f.Hello.Epoch > t.row.Epoch {
		if n.recovering.Load() {
			if err := s.Send(&frame{Recovering: true}); err != nil {
				return err
			}
		} else if known := n.knownLeader(); known.Epoch > 0 {
			if err := s.Send(&frame{Leader: &known}); err != nil {
				return err
			}
		}
		return Error.New("daemon %q does not lead the cell with the epoch that the hello requires", n.settings.Name)
	}
	if from, ok := peer.FromContext(ctx); ok && !listener.Conn(from.Addr).Busy() {
		return Error.New("the connection was closed for another one")
	}
	l := newLink(f.Hello.Member)
	l.pingAt.Store(n.clock.Now())
	if f.Ping != nil {
		l.recordPeerConfig(f.Ping.Version)
	}
	t.addLink(l)
	defer t.removeLink(l)
	go l.out.run(s.Send)
	t.offerConfig(l)
	recvErr := make(chan error, 1)
	go func() {
		for {
			f, err := s.Recv()
			if err != nil {
				recvErr <- err
				return
			}
			t.handleFrame(l, f)
		}
	}()
	select {
	case err := <-recvErr:
		return err
	case <-t.done:
		return Error.New("daemon %q has lost leadership of epoch %d", n.settings.Name, t.row.Epoch)
	}
}

func (t *term) addLink(l *link) {
	t.mu.Lock()
	t.links[l] = true
	delete(t.unreached, l.Name)
	t.changes.opened++
	now := t.n.clock.Now()
	logged := now-t.openLoggedAt[l.Name] >= linkLogInterval.Milliseconds()
	if logged {
		t.openLoggedAt[l.Name] = now
	}
	l.logged = logged
	t.mu.Unlock()
	if logged {
		t.log.WithField("Peer", l.Name).Info("LinkOpened")
	}
	t.updateHelpers()
}

func (t *term) removeLink(l *link) {
	t.mu.Lock()
	delete(t.links, l)
	t.changes.closed++
	t.mu.Unlock()
	l.out.close()
	close(l.done)
	t.expireOrders(l, math.MaxInt64)
	if l.logged {
		t.log.WithField("Peer", l.Name).Info("LinkClosed")
	}
	if t.ctx.Err() == nil {
		go t.probeMember(l.member, t.n.clock.Now())
	}
	t.updateHelpers()
}

// updateHelpers tells the engine which daemons can call the advice service: this one and all linked ones.
func (t *term) updateHelpers() {
	names := []string{t.n.settings.Name}
	t.mu.Lock()
	t.membersChanged = true
	for l := range t.links {
		names = append(names, l.Name)
	}
	t.mu.Unlock()
	slices.Sort(names)
	names = slices.Compact(names)
	t.enqueue(func(e *ibiscell.Engine) { e.SetHelpers(t.n.clock.Now(), names) })
}

// handleFrame handles a message of a linked daemon.
func (t *term) handleFrame(l *link, f *frame) {
	for _, r := range f.Requests {
		t.request(r, func(reply Reply) {
			reply.N = r.N
			l.out.put(&frame{Replies: []Reply{reply}})
		})
	}
	for _, a := range f.AdviceResults {
		t.handleAdvice(a)
	}
	if len(f.Results) > 0 {
		t.handleResults(l, f.Results)
	}
	for k := range f.ScoutReports {
		t.handleScoutConfig(&f.ScoutReports[k])
		t.enqueue(func(e *ibiscell.Engine) { t.handleScoutReport(e, l, &f.ScoutReports[k]) })
	}
	for _, a := range f.ConfigAcks {
		l.handleConfigAck(a)
	}
	if f.Ping != nil {
		l.pingAt.Store(t.n.clock.Now())
		l.draining.Store(f.Ping.Draining)
		l.recordPeerConfig(f.Ping.Version)
		t.offerConfig(l)
		answer := &frame{Pong: t.newPong(f.Ping)}
		if !l.countsLost {
			answer.Counts = t.newCounts(l, f.Ping)
		}
		l.countsLost = !l.out.put(answer) || l.countsLost
	}
}

// newPong answers a ping.
func (t *term) newPong(p *ping) *pong {
	now := t.n.clock.Now()
	reading := t.n.configReads.Load() > 0 || t.scoutReadsConfig() // before what the read results in
	t.n.mu.Lock()
	confirmedAt, readAt := t.n.configConfirmedAt, t.n.configReadAt
	t.n.mu.Unlock()
	return &pong{At: p.At, Now: now, Version: t.n.configVersion(), ConfigAgeMS: now - confirmedAt, ConfigLagMS: readAt - confirmedAt, CommitAgeMS: now - t.commitAt.Load(), CommitMS: t.n.latency.averageMS(), ReadingConfig: reading, JournalBytes: t.journalBytes.Load()}
}

// follower is the other end of a link: it carries this daemon's requests to the leader.
type follower struct {
	n      *Node
	leader leaderRow
	out    *outbox

	mu       sync.Mutex
	running  map[int][]runningRecord // what each server runs, by target, as last sent to the leader
	pending  map[uint64]func(Reply)  // by Request.N
	lastN    uint64
	closed   bool
	pongAt   ibiscell.Time // arrival of lastPong
	lastPong pong
	counts   shownCounts

	received     func() int64 // bytes that have arrived on the link
	linkAtPong   int64        // value of received at pongAt
	bodiesAtPong int64        // bytes of the bodies of all other calls at pongAt

	// Owned by follow.
	targets   []ibiscell.Target // named by the leader's orders
	stopScout context.CancelFunc
	arriving  arrivingConfig
	announced int64 // newest version of the leader's configuration that was not this daemon's
}

// request sends r to the leader. When the link breaks before the reply, answer is called with NotLeader.
func (f *follower) request(r Request, answer func(Reply)) {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		answer(Reply{Outcome: ibiscell.NotLeader})
		return
	}
	f.lastN++
	r.N = f.lastN
	f.pending[r.N] = answer
	f.mu.Unlock()
	f.out.put(&frame{Requests: []Request{r}}) // when the link is broken, close answers
}

// close closes the link and answers all pending requests with NotLeader, so that they go to the next leader.
func (f *follower) close() {
	f.mu.Lock()
	unanswered := f.pending
	f.pending, f.closed = nil, true
	f.mu.Unlock()
	f.out.close()
	for _, answer := range unanswered {
		answer(Reply{Outcome: ibiscell.NotLeader})
	}
}

// follow keeps a link to the leader until it breaks or the leader is silent. Linked reports whether the leader
// accepted the link. Transfer is set when this daemon is to acquire leadership at once, because the leader
// has asked for it or can't write to the table.
func (n *Node) follow(ctx context.Context, leader leaderRow) (linked bool, transfer *leadershipTransfer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, closeLink, err := ibisrpc.OpenLink[frame](ctx, n.registry, leader.Address, linkOpenTimeout)
	if err != nil {
		n.log.WithFields(log.Fields{"Leader": leader.Name, "Epoch": leader.Epoch}).WithError(err).Info("LinkRefused")
		return false, nil
	}
	defer closeLink()
	f := &follower{n: n, leader: leader, out: newOutbox(), pending: make(map[uint64]func(Reply)), running: make(map[int][]runningRecord), pongAt: n.clock.Now(), counts: shownCounts{counts: make(map[string]int)}}
	f.received, f.bodiesAtPong = s.Received, n.bodiesReceived()
	f.lastPong.At = f.pongAt // until the first pong, the leader counts as healthy, with a commit just now
	f.out.put(&frame{Hello: &hello{Member: n.member(), Epoch: leader.Epoch}, Ping: f.newPing()})
	frames, recvErr := make(chan *frame), make(chan error, 1)
	go func() {
		for {
			m, err := s.Recv()
			if err != nil {
				recvErr <- err
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
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	checked, checking := make(chan bool, 1), false
	for {
		select {
		case <-ctx.Done():
			return linked, nil
		case replace := <-checked:
			checking = false
			if replace {
				return linked, &leadershipTransfer{Epoch: leader.Epoch}
			}
		case err := <-recvErr:
			n.log.WithFields(log.Fields{"Leader": leader.Name, "Linked": linked}).WithError(err).Warn("LeaderLost")
			return linked, nil
		case m := <-frames:
			if m.Recovering {
				n.recoveringSeenAt = n.clock.Now()
				return linked, nil
			}
			if m.Leader != nil {
				n.recordLeader(*m.Leader)
				return linked, nil
			}
			if !linked {
				linked = true
				n.setFollower(f)
				n.log.WithFields(log.Fields{"Leader": leader.Name, "Epoch": leader.Epoch}).Info("LeaderFound")
			}
			f.handleFrame(ctx, m)
			if m.Transfer != nil && !n.isDraining() {
				return linked, m.Transfer
			}
		case <-tick.C:
			if age := n.clock.Now() - f.pongAt; age > pongTimeout.Milliseconds() {
				n.log.WithFields(log.Fields{"Leader": leader.Name, "SilentMS": age, "LinkKB": (f.received() - f.linkAtPong) >> 10, "BodiesKB": (n.bodiesReceived() - f.bodiesAtPong) >> 10}).Warn("LeaderLost")
				return linked, nil
			}
			f.out.put(&frame{Ping: f.newPing()})
			if linked && !checking {
				checking = true
				go func() { checked <- n.shouldReplace(ctx, f) }()
			}
		}
	}
}

func (f *follower) newPing() *ping {
	f.mu.Lock()
	pongAt := f.lastPong.At
	f.mu.Unlock()
	return &ping{At: f.n.clock.Now(), Version: f.n.configVersion(), Draining: f.n.isDraining(), PongAt: pongAt}
}

// handleFrame handles a message of the leader.
func (f *follower) handleFrame(ctx context.Context, m *frame) {
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
		go func() { f.out.put(&frame{AdviceResults: []adviceResult{f.n.callAdvice(ctx, a)}}) }()
	}
	for k := range m.Orders {
		f.relayOrders(ctx, &m.Orders[k])
	}
	if m.Scout != nil {
		f.handleScoutOrder(ctx, m.Scout)
	}
	if m.Members != nil {
		f.n.setMembers(m.Members)
	}
	for k := range m.MemberChanges {
		f.n.changeMembers(&m.MemberChanges[k])
	}
	for k := range m.ConfigParts {
		f.handleConfigPart(&m.ConfigParts[k])
	}
	if p := m.Pong; p != nil {
		f.n.confirmConfig(p.Version, p.At-p.ConfigAgeMS+p.ConfigLagMS, p.ConfigLagMS)
		f.announceConfig(p.Version)
		f.mu.Lock()
		f.pongAt, f.lastPong = f.n.clock.Now(), *p
		f.linkAtPong, f.bodiesAtPong = f.received(), f.n.bodiesReceived()
		f.handleCounts(m.Counts)
		f.mu.Unlock()
	}
}

// callAdvice makes one call to the advice service. A failure is logged and reported as not OK.
func (n *Node) callAdvice(ctx context.Context, c ibiscell.Advise) adviceResult {
	n.adviceMu.Lock() // the service handles one call per VM at a time
	defer n.adviceMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, adviseTimeout)
	defer cancel()
	approved, valid, err := n.advisor.Advise(ctx, c.Step, c.Servers)
	if err != nil {
		n.log.WithField("Step", c.Step).WithError(err).Info("AdviceCallFailed")
		return adviceResult{ID: c.ID}
	}
	return adviceResult{ID: c.ID, Approved: approved, ValidMS: valid, OK: true}
}
