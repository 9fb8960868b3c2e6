package ibisnode_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisharness"
	"ibiscrank/ibisjob"
	"ibiscrank/ibisnode"
	"ibiscrank/ibiswork"
)

// sharedTable is the table of all daemons of a test.
type sharedTable struct {
	mu     sync.Mutex
	rows   map[string]ibisnode.Row
	ver    int64
	losing bool          // carries commits out and loses the replies
	slow   time.Duration // of a commit, which are carried out one after the other; a read takes half of it
	busyTo time.Time     // by commits that were taken while slow
}

// refuseBeyond is the waiting time from which a slow table takes no more commits.
const refuseBeyond = time.Second

func (t *sharedTable) setSlow(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow = d
}

func (t *sharedTable) slowness() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slow
}

// queue takes the next turn of a slow commit.
func (t *sharedTable) queue() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(time.Until(t.busyTo), 0)
	if wait > refuseBeyond {
		return 0, false
	}
	t.busyTo = time.Now().Add(wait + t.slow)
	return wait + t.slow, true
}

// tableView is a daemon's way to the table.
type tableView struct {
	*sharedTable
	amu  sync.Mutex
	away bool
}

func (v *tableView) setAway(away bool) {
	v.amu.Lock()
	defer v.amu.Unlock()
	v.away = away
}

func (v *tableView) check(ctx context.Context) error {
	v.amu.Lock()
	defer v.amu.Unlock()
	if v.away {
		return ibisnode.Unavailable.New("away")
	}
	return ctx.Err()
}

func id(table, part, key string) string { return table + "/" + part + "/" + key }

func (v *tableView) Commit(ctx context.Context, tx ibisnode.Tx) (int64, error) {
	if err := v.check(ctx); err != nil {
		return 0, err
	}
	if v.slowness() == 0 {
		return v.apply(tx)
	}
	wait, ok := v.queue()
	if !ok {
		return 0, ibisnode.Unavailable.New("too many wait")
	}
	type result struct {
		version int64
		err     error
	}
	done := make(chan result, 1)
	time.AfterFunc(wait, func() {
		version, err := v.apply(tx)
		done <- result{version, err}
	})
	select {
	case r := <-done:
		return r.version, r.err
	case <-ctx.Done(): // it will be carried out all the same
		return 0, ibisnode.Unknown.Wrap(ctx.Err())
	}
}

func (t *sharedTable) apply(tx ibisnode.Tx) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := id(tx.Table, tx.Part, tx.Key)
	if t.rows[own].Version != tx.Expected {
		return 0, &ibisnode.ConflictError{Row: t.rows[own]}
	}
	t.ver++
	t.rows[own] = ibisnode.Row{Key: tx.Key, Value: tx.Value, Version: t.ver}
	for _, r := range tx.Puts {
		t.rows[id(r.Table, tx.Part, r.Key)] = ibisnode.Row{Key: r.Key, Value: r.Value, Version: t.ver}
	}
	for _, r := range tx.Removes {
		delete(t.rows, id(r.Table, tx.Part, r.Key))
	}
	if t.losing && t.ver%2 == 0 {
		return 0, ibisnode.Unknown.New("the reply was lost")
	}
	return t.ver, nil
}

func (v *tableView) Get(ctx context.Context, table, part, key string) (ibisnode.Row, error) {
	if err := v.check(ctx); err != nil {
		return ibisnode.Row{}, err
	}
	time.Sleep(v.slowness() / 2)
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rows[id(table, part, key)], nil
}

func (v *tableView) Scan(ctx context.Context, table, part string) (rows []ibisnode.Row, _ error) {
	if err := v.check(ctx); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for k, r := range v.rows {
		if strings.HasPrefix(k, id(table, part, "")) {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// Config and Servers make a directory of the same way to the platform.
func (v *tableView) Config(ctx context.Context) (*ibisjob.Config, error) {
	if err := v.check(ctx); err != nil {
		return nil, err
	}
	return &ibisjob.Config{
		Version: 1, Queues: []ibisjob.Queue{{Name: "q", Host: "h", PathPrefix: "/", Service: "svc", SlackFactor: 2, ObjectiveMS: 1000, MaxAttempts: 2}},
		Teams: []ibisjob.Team{{Name: "a", Keys: []string{"key"}, Weight: 100}},
	}, nil
}

func (v *tableView) Servers(ctx context.Context) ([]ibiscell.ServerInfo, error) {
	if err := v.check(ctx); err != nil {
		return nil, err
	}
	return []ibiscell.ServerInfo{{Target: ibiscell.Target{ID: "s", Address: "s", Born: 1}, Service: "svc", Capacity: ibiswork.Resources{MilliCPU: 64_000, MemoryMB: 64_000}}}, nil
}

// oneServer is a backend server that ends every run at once.
type oneServer struct {
	mu     sync.Mutex
	epoch  int64
	ended  []ibiscell.End
	starts map[string]int
}

func (s *oneServer) Start(_ context.Context, c ibiscell.Start) ibiscell.OrderOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Epoch < s.epoch {
		return ibiscell.OrderFenced
	}
	if s.starts[c.Name.Task] == 0 {
		s.ended = append(s.ended, ibiscell.End{N: int64(len(s.ended) + 1), Name: c.Name, How: ibiscell.EndDone})
	}
	s.starts[c.Name.Task]++
	return ibiscell.OrderDone
}

func (s *oneServer) Stop(context.Context, ibiscell.Stop) ibiscell.OrderOutcome {
	return ibiscell.OrderDone
}

func (s *oneServer) Hold(_ context.Context, c ibiscell.Hold) (ibiscell.Report, ibiscell.OrderOutcome) {
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Epoch < s.epoch {
		return ibiscell.Report{}, ibiscell.OrderFenced
	}
	s.epoch = c.Epoch
	return ibiscell.Report{Target: c.Target, ClockMS: time.Now().UnixMilli(), Ended: slices.Clone(s.ended[c.Acked:])}, ibiscell.OrderDone
}

type realClock struct{}

func (realClock) Now() int64    { return time.Now().UnixMilli() }
func (realClock) UnixMS() int64 { return time.Now().UnixMilli() }

// events counts the log events of one daemon.
type events struct {
	mu sync.Mutex
	n  map[string]int
}

func (e *events) HandleLog(entry *log.Entry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.n[entry.Message]++
	return nil
}

func (e *events) count(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.n[name]
}

type member struct {
	*ibisnode.Node
	name   string
	table  *tableView
	link   *ibisharness.Link
	events *events
	stop   func()
}

func (m *member) leads() bool {
	return m.events.count("LeadTaken") > m.events.count("LeadEnded")
}

type group struct {
	t       *testing.T
	table   *sharedTable
	server  *oneServer
	members []*member
}

func newGroup(t *testing.T, powers ...float64) *group {
	g := &group{t: t, table: &sharedTable{rows: map[string]ibisnode.Row{}}, server: &oneServer{starts: map[string]int{}}}
	for _, p := range powers {
		g.join(p)
	}
	g.awaitServing(g.members...)
	return g
}

// join starts one more daemon; others reach it through a link that can fail.
func (g *group) join(power float64) *member {
	m := &member{name: fmt.Sprintf("n%d", len(g.members)), table: &tableView{sharedTable: g.table}, events: &events{n: map[string]int{}}}
	listen := ibisharness.FreeAddress(g.t)
	m.link = ibisharness.NewLink(g.t, m.name, listen)
	m.Node = ibisnode.New(ibisnode.Settings{Name: m.name, Address: m.link.Address(), Listen: listen, FirstRun: true, Power: power, RevokeMS: 5000}, ibisnode.Ports{
		Table: m.table, Directory: m.table, Servers: g.server, Clock: realClock{}, Registry: metrics.NewRegistry(),
		Log: &log.Logger{Handler: m.events, Level: log.InfoLevel},
	})
	stop, err := m.Start()
	assert.NilError(g.t, err)
	var once sync.Once
	m.stop = func() { once.Do(stop) }
	g.t.Cleanup(m.stop)
	g.members = append(g.members, m)
	return m
}

func (g *group) leader() *member {
	for _, m := range g.members {
		if m.leads() {
			return m
		}
	}
	return nil
}

// awaitServing waits until each of the daemons has a submission accepted.
func (g *group) awaitServing(members ...*member) {
	g.t.Helper()
	for _, m := range members {
		ibisharness.Eventually(g.t, 15*time.Second, m.name+" serves", func() bool { return g.submit(m) == ibiscell.OK })
	}
}

var nextJob struct {
	sync.Mutex
	n int
}

func (g *group) submit(m *member) ibiscell.Outcome {
	nextJob.Lock()
	nextJob.n++
	job := ibisjob.Job{ID: ibisjob.ID(fmt.Sprintf("%016x", nextJob.n)), Queue: "q", Team: "a", Steps: []ibisjob.Step{{Tasks: 1, Size: ibiswork.Resources{MilliCPU: 10, MemoryMB: 1}}}}
	nextJob.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return m.Call(ctx, ibisnode.Request{Kind: ibisnode.Submit, ID: job.ID, Job: &job}).Outcome
}

func (g *group) ranOnce() {
	g.t.Helper()
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	for task, n := range g.server.starts {
		assert.Equal(g.t, n, 1, "%s was started %d times", task, n)
	}
}

func TestDaemonsAgreeOnOneLeader(t *testing.T) {
	g := newGroup(t, 1, 1, 1)
	taken := 0
	for _, m := range g.members {
		taken += m.events.count("LeadTaken")
	}
	assert.Equal(t, taken, 1)
	g.ranOnce()
}

func TestAnotherLeadsWhenTheLeaderStops(t *testing.T) {
	g := newGroup(t, 1, 1, 1)
	old := g.leader()
	old.stop()
	var rest []*member
	for _, m := range g.members {
		if m != old {
			rest = append(rest, m)
		}
	}
	g.awaitServing(rest...)
	g.ranOnce()
}

func TestLeaderThatItsFollowersCannotReachGivesUp(t *testing.T) {
	g := newGroup(t, 1, 1, 1)
	old := g.leader()
	old.link.SilenceAll()
	var rest []*member
	for _, m := range g.members {
		if m != old {
			rest = append(rest, m)
		}
	}
	g.awaitServing(rest...)
	assert.Assert(t, old.events.count("LeadGivenUp") > 0)
	g.awaitServing(old) // it reaches the others
	g.ranOnce()
}

func TestLeaderThatAloneCannotWriteIsReplaced(t *testing.T) {
	g := newGroup(t, 1, 1, 1)
	old := g.leader()
	old.table.setAway(true)
	ibisharness.Eventually(t, 15*time.Second, "another leads", func() bool { return g.leader() != nil && g.leader() != old })
	g.awaitServing(g.members...) // the old leader finds the new one through its peers
	g.ranOnce()
}

func TestFollowerFindsANewLeaderWithoutTheTable(t *testing.T) {
	g := newGroup(t, 1, 1, 1, 1)
	old := g.leader()
	shut := g.members[(slices.Index(g.members, old)+1)%len(g.members)]
	ibisharness.Eventually(t, 5*time.Second, "the daemons know each other", func() bool { return shut.Members() == len(g.members) })
	shut.table.setAway(true)
	old.stop()
	g.awaitServing(shut)
	assert.Assert(t, !shut.leads())
}

func TestStrongDaemonLeads(t *testing.T) {
	g := newGroup(t, 0.2, 0.2)
	strong := g.join(1)
	ibisharness.Eventually(t, 20*time.Second, "the strong daemon leads", strong.leads)
	g.awaitServing(g.members...)
	g.ranOnce()
}

func TestLostRepliesOfCommitsAreSettled(t *testing.T) {
	g := newGroup(t, 1, 1)
	g.table.mu.Lock()
	g.table.losing = true
	g.table.mu.Unlock()
	for range 20 {
		assert.Equal(t, g.submit(g.members[0]), ibiscell.OK)
	}
	taken := 0
	for _, m := range g.members {
		taken += m.events.count("LeadTaken")
	}
	assert.Equal(t, taken, 1)
	g.ranOnce()
}

// TestSlowTableKeepsItsLeader slows every commit down to 400 ms for a while. Another leader could not write faster, and
// commits that are sent again, or that would take the lead, only make the queue longer.
func TestSlowTableKeepsItsLeader(t *testing.T) {
	g := newGroup(t, 1, 1, 1, 1)
	g.table.setSlow(400 * time.Millisecond)
	time.AfterFunc(4*time.Second, func() { g.table.setSlow(0) })
	var wg sync.WaitGroup
	var accepted, sent atomic.Int64
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		sent.Add(1)
		wg.Go(func() {
			if g.submit(g.members[0]) == ibiscell.OK {
				accepted.Add(1)
			}
		})
	}
	wg.Wait()
	taken := 0
	for _, m := range g.members {
		taken += m.events.count("LeadTaken")
	}
	assert.Equal(t, taken, 1)
	assert.Assert(t, accepted.Load() > sent.Load()*3/4, "%d of %d accepted", accepted.Load(), sent.Load())
	g.ranOnce()
}

func TestNobodyIsTakenForALeaderThatCannotWriteBeforeItsFirstPong(t *testing.T) {
	g := newGroup(t, 1)
	for range 3 {
		g.awaitServing(g.join(1))
	}
	for _, m := range g.members {
		assert.Equal(t, m.events.count("LeaderCannotWrite"), 0)
	}
}

// TestRollingRestartKeepsOffDaemonsThatStop stops daemons in turn. The lead goes to the daemon that has started
// last, and never to one that is being stopped.
func TestRollingRestartKeepsOffDaemonsThatStop(t *testing.T) {
	g := newGroup(t, 1, 1, 1)
	newest := g.join(1)
	g.awaitServing(newest)
	stopping := g.members[0]
	if stopping.leads() {
		stopping = g.members[1]
	}
	old := g.leader()
	stopping.HandOver()         // it does not lead, and says that it is being stopped
	time.Sleep(2 * time.Second) // eight pings
	old.HandOver()
	ibisharness.Eventually(t, 10*time.Second, "the newest daemon leads", newest.leads)
	assert.Equal(t, stopping.events.count("LeadTaken"), 0)
}
