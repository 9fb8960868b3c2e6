package ibisnode

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

type fixedClock struct{}

func (fixedClock) Now() ibiscell.Time { return 1000 }
func (fixedClock) UnixMS() int64      { return 1000 }

func newTestNode(cfg *ibisjob.Config) *Node {
	return &Node{cfg: cfg, clock: fixedClock{}, registry: metrics.NewRegistry(), log: &log.Logger{Handler: discard.New()}, routeChanged: make(chan struct{})}
}

func newTestTerm(cfg *ibisjob.Config) *term {
	n := newTestNode(cfg)
	return &term{n: n, log: n.log, configParts: make(chan struct{}, maxConfigParts)}
}

// largeConfig returns a configuration that takes more than one part.
func largeConfig(version int64) *ibisjob.Config {
	rng := rand.New(rand.NewPCG(1, uint64(version)))
	cfg := &ibisjob.Config{Version: version}
	for range 5000 {
		cfg.Queues = append(cfg.Queues, ibisjob.Queue{Name: strconv.FormatUint(rng.Uint64(), 36)})
	}
	return cfg
}

// serveTestLink is the other end of a link: it has f handle what is sent and returns its acknowledgements to l. It ends
// when the configuration of f has reached version, and reports false if that takes too long.
func serveTestLink(l *link, f *follower, version int64) bool {
	deadline := time.After(10 * time.Second)
	for f.n.Config() == nil || f.n.Config().Version < version {
		select {
		case <-l.out.wake:
		case <-deadline:
			return false
		}
		for _, p := range take(l.out).ConfigParts {
			f.handleConfigPart(&p)
		}
		for _, a := range awaitAcks(f) {
			l.handleConfigAck(a)
		}
	}
	return true
}

// awaitAcks returns the acknowledgements of f, of which there will be one.
func awaitAcks(f *follower) []configAck {
	<-f.out.wake
	return take(f.out).ConfigAcks
}

// take returns what is queued.
func take(o *outbox) *frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.queued
	o.queued, o.frames = nil, 0
	if f == nil {
		return &frame{}
	}
	return f
}

// Guards against frozen daemons that keep all others from getting the configuration.
func TestFrozenDaemonsDoNotHoldBackTheConfiguration(t *testing.T) {
	term := newTestTerm(largeConfig(7))
	for range maxConfigParts {
		frozen := newTestLink(t, fixedClock{}.Now())
		term.offerConfig(frozen)
		<-frozen.out.wake
	}
	l, f := newTestLink(t, fixedClock{}.Now()), &follower{n: newTestNode(nil), out: newOutbox()}
	term.offerConfig(l)
	assert.Assert(t, serveTestLink(l, f, 7))
}

// Guards against a daemon that misses a configuration which comes while an earlier one is being sent.
func TestNextConfigurationFollowsTheOneThatIsBeingSent(t *testing.T) {
	term := newTestTerm(largeConfig(7))
	l, f := newTestLink(t, fixedClock{}.Now()), &follower{n: newTestNode(nil), out: newOutbox()}
	term.offerConfig(l)
	<-l.out.wake
	l.out.wake <- struct{}{}
	term.n.setConfig(largeConfig(8), "Table")
	term.offerConfig(l)
	assert.Assert(t, serveTestLink(l, f, 8))
}

// Guards against pongs that are handled too late because the configuration is being decoded.
func TestConfigurationIsDecodedBesideOtherFrames(t *testing.T) {
	b, err := encodeConfigChange((&ibisjob.Config{Version: 5}).ChangeSince(nil))
	assert.NilError(t, err)
	f := &follower{n: newTestNode(nil), out: newOutbox()}
	f.n.mu.Lock() // the change can't be applied
	f.handleConfigPart(&configPart{Version: 5, Size: len(b), Data: b})
	f.n.mu.Unlock()
	assert.Equal(t, awaitAcks(f)[0].Own, int64(5))
}

// Guards against a change that is applied to another version than its base, or not as a whole.
func TestConfigurationPartsThatDoNotFitAreRefused(t *testing.T) {
	old := &ibisjob.Config{Version: 4, Queues: []ibisjob.Queue{{Name: "a"}, {Name: "b"}}}
	b, err := encodeConfigChange((&ibisjob.Config{Version: 5, Queues: old.Queues[:1]}).ChangeSince(old))
	assert.NilError(t, err)
	half := len(b) / 2
	for name, c := range map[string]struct {
		own     int64
		parts   []configPart
		refused bool
		version int64
	}{
		"whole":          {4, []configPart{{Version: 5, Size: len(b), Data: b}}, false, 5},
		"two parts":      {4, []configPart{{Version: 5, Size: len(b), Data: b[:half]}, {Version: 5, Offset: half, Size: len(b), Data: b[half:]}}, false, 5},
		"other base":     {3, []configPart{{Version: 5, Size: len(b), Data: b}}, true, 3},
		"newer already":  {6, []configPart{{Version: 5, Size: len(b), Data: b}}, false, 6},
		"gap":            {4, []configPart{{Version: 5, Size: len(b), Data: b[:half]}, {Version: 5, Offset: half + 1, Size: len(b), Data: b[half+1:]}}, true, 4},
		"other version":  {4, []configPart{{Version: 5, Size: len(b), Data: b[:half]}, {Version: 6, Offset: half, Size: len(b), Data: b[half:]}}, true, 4},
		"no first part":  {4, []configPart{{Version: 5, Offset: half, Size: len(b), Data: b[half:]}}, true, 4},
		"too much":       {4, []configPart{{Version: 5, Size: half, Data: b}}, true, 4},
		"too large":      {4, []configPart{{Version: 5, Size: 1 << 40, Data: b}}, true, 4},
		"not a change":   {4, []configPart{{Version: 5, Size: 1, Data: []byte{0xff}}}, true, 4},
		"sent once more": {4, []configPart{{Version: 5, Size: len(b), Data: b[:half]}, {Version: 5, Size: len(b), Data: b}}, false, 5},
	} {
		t.Run(name, func(t *testing.T) {
			f := &follower{n: newTestNode(&ibisjob.Config{Version: c.own, Queues: old.Queues}), out: newOutbox()}
			for _, p := range c.parts {
				f.handleConfigPart(&p)
			}
			var acks []configAck
			for len(acks) < len(c.parts) {
				<-f.out.wake
				acks = append(acks, take(f.out).ConfigAcks...)
			}
			assert.Equal(t, len(acks), len(c.parts))
			assert.Equal(t, acks[len(acks)-1].Refused, c.refused)
			assert.Equal(t, acks[len(acks)-1].Own, c.version)
			assert.Equal(t, f.n.Config().Version, c.version)
		})
	}
}

// Guards against daemons that read the configuration beside a leader that is reading it, and against those that wait for one
// that doesn't get it or for longer than keys may be accepted.
func TestConfigurationIsLeftToALeaderThatReadsItForABoundedTime(t *testing.T) {
	now := fixedClock{}.Now()
	for name, c := range map[string]struct {
		age, pongAge int64 // in milliseconds
		pong         *pong // nil: no leader
		left         bool
	}{
		"reads":                {3000, 200, &pong{CommitAgeMS: 1000, ReadingConfig: true}, true},
		"no leader":            {3000, 200, nil, false},
		"doesn't read":         {3000, 200, &pong{CommitAgeMS: 100}, false},
		"silent":               {1000, 800, &pong{ReadingConfig: true}, false},
		"can't write":          {1000, 200, &pong{CommitAgeMS: 1400, ReadingConfig: true}, false},
		"keys are nearly void": {3300, 200, &pong{ReadingConfig: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(&ibisjob.Config{Version: 1})
			n.settings.RevokeMS = 5000
			n.configConfirmedAt = now - c.age
			if c.pong != nil {
				c.pong.At = now - c.pongAge
				n.follower = &follower{n: n, pongAt: now - c.pongAge, lastPong: *c.pong}
			}
			assert.Equal(t, n.leaderReadsConfig(now), c.left)
		})
	}
}

// Guards against daemons that read a new configuration which their leader has read and is about to send.
func TestDaemonsWaitForTheFirstPartOfANewerConfiguration(t *testing.T) {
	f := &follower{n: newTestNode(&ibisjob.Config{Version: 3})}
	f.announceConfig(3)
	assert.Assert(t, !f.n.configArriving(f.n.clock.Now()), "it has this version")
	f.announceConfig(5)
	assert.Assert(t, f.n.configArriving(f.n.clock.Now()))
	f.n.configPartAt.Store(0)
	f.announceConfig(5)
	assert.Assert(t, !f.n.configArriving(f.n.clock.Now()), "each version is waited for once")
}

// newTestLink returns a link whose last ping came at a time on the clock of newTestNode.
func newTestLink(t *testing.T, pingAt int64) *link {
	l := newLink(member{})
	l.pingAt.Store(pingAt)
	t.Cleanup(func() { close(l.done) })
	return l
}

// Guards against daemons that get a configuration later than configApplyMs (2 s) because many others are frozen or cut
// off: a third of 147 daemons.
func TestManyFrozenDaemonsDoNotHoldBackTheConfiguration(t *testing.T) {
	term := newTestTerm(largeConfig(7))
	for range 49 {
		term.offerConfig(newTestLink(t, fixedClock{}.Now()-900))
	}
	time.Sleep(50 * time.Millisecond) // the frozen ones come first
	l, f := newTestLink(t, fixedClock{}.Now()), &follower{n: newTestNode(nil), out: newOutbox()}
	began := time.Now()
	term.offerConfig(l)
	assert.Assert(t, serveTestLink(l, f, 7))
	took := time.Since(began)
	assert.Assert(t, took < 2*time.Second, "it took %v", took)
}

// Guards against parts that pile up on the leader's link, in front of its pongs, because it carries them slowly.
func TestPartsOnTheirWayStayBoundedWhenAcknowledgementsAreSlow(t *testing.T) {
	term := newTestTerm(largeConfig(7))
	var links []*link
	for range 41 {
		l := newTestLink(t, fixedClock{}.Now()) // its pings arrive
		links = append(links, l)
		term.offerConfig(l)
	}
	time.Sleep(2 * time.Second)
	parts := 0
	for _, l := range links {
		parts += len(take(l.out).ConfigParts)
	}
	assert.Assert(t, parts <= maxConfigParts, "%d parts are on their way, %d KB", parts, parts*configPartBytes>>10)
}

// Guards against a daemon that gets no configuration at all: it can't use what the leader sends again and again, and
// doesn't read the table because something arrives.
func TestRefusedPartsDoNotKeepADaemonFromReadingTheTable(t *testing.T) {
	f := &follower{n: newTestNode(&ibisjob.Config{Version: 3}), out: newOutbox()}
	f.handleConfigPart(&configPart{Version: 5, Size: 1, Data: []byte{0xff}})
	assert.Assert(t, awaitAcks(f)[0].Refused)
	assert.Assert(t, !f.n.configArriving(f.n.clock.Now()))
}

// Guards against a daemon that gets no configuration at all, as above, when the change that it can't use is large: its
// first parts arrive again and again.
func TestRefusedLargeChangeDoesNotKeepADaemonFromReadingTheTable(t *testing.T) {
	f := &follower{n: newTestNode(&ibisjob.Config{Version: 3}), out: newOutbox()}
	parts := []configPart{{Version: 5, Size: 2, Data: []byte{0xff}}, {Version: 5, Offset: 1, Size: 2, Data: []byte{0xff}}}
	f.handleConfigPart(&parts[0])
	awaitAcks(f)
	assert.Assert(t, f.n.configArriving(f.n.clock.Now()))
	f.handleConfigPart(&parts[1])
	assert.Assert(t, awaitAcks(f)[0].Refused)
	assert.Assert(t, !f.n.configArriving(f.n.clock.Now()), "after the refusal")
	f.handleConfigPart(&parts[0])
	awaitAcks(f)
	assert.Assert(t, !f.n.configArriving(f.n.clock.Now()), "when the change that was refused is sent again")
	f.handleConfigPart(&configPart{Version: 6, Size: 2, Data: []byte{0xff}})
	awaitAcks(f)
	assert.Assert(t, f.n.configArriving(f.n.clock.Now()), "when a later one is sent")
}

// Guards against a transfer that stops for configAckTimeout and begins again because the acknowledgement it waits for
// arrives together with one that is too late.
func TestLateAcknowledgementDoesNotDisplaceTheNextOne(t *testing.T) {
	term := newTestTerm(largeConfig(7))
	l := newTestLink(t, fixedClock{}.Now())
	sent := make(chan bool)
	l.handleConfigAck(configAck{Version: 7, Offset: 2 * configPartBytes}) // of an attempt that was given up
	l.handleConfigAck(configAck{Version: 7})
	go func() { sent <- term.sendConfigPart(l, configPart{Version: 7, Size: 1 << 20}) }()
	select {
	case ok := <-sent:
		assert.Assert(t, ok)
	case <-time.After(configAckTimeout / 2):
		t.Fatal("the acknowledgement of the part was dropped")
	}
}
