package ibisnode_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisharness"
	"ibiscrank/ibisjob"
	"ibiscrank/ibisnode"
)

// sharedTable is an in-memory table service, shared by all daemons of a test.
type sharedTable struct {
	mu           sync.Mutex
	rows         map[string]ibisnode.Row
	version      int64
	loseReplies  bool          // apply commits, but lose every second reply
	commitTime   time.Duration // of each commit; slow commits are applied one by one, and a read takes half as long
	busyUntil    time.Time     // when all queued commits have been applied
	oneWriteEach bool          // a daemon can't write again before another one has
	lastWriter   *tableView
	scanTime     time.Duration // of each scan
	scanFills    bool          // a scan fills the link of the daemon: until it ends, nothing else arrives
	servers      []ibiscell.ServerInfo
	evacuated    []string
	silent       atomic.Bool // calls that begin now are never answered
	cfg          *ibisjob.Config
	configTime   time.Duration // of a read of the whole configuration by a daemon that hasn't read this version lately
}

// newConfig returns a configuration with one team and a number of queues, of which jobs use the first.
func newConfig(version int64, queues int) *ibisjob.Config {
	rng := rand.New(rand.NewPCG(1, 1))
	cfg := &ibisjob.Config{Version: version, Teams: []ibisjob.Team{{Name: "a", Keys: []string{"key"}, Weight: 100}}}
	for n := range queues {
		q := ibisjob.Queue{Name: "q", Host: "h", PathPrefix: "/", Service: "svc", SlackFactor: 2, ObjectiveMS: 1000, MaxAttempts: 2}
		if n > 0 {
			q.Name, q.Host, q.PathPrefix = randomName(rng), randomName(rng), "/"+randomName(rng)
		}
		cfg.Queues = append(cfg.Queues, q)
	}
	return cfg
}

// randomName returns a name that can't be compressed much.
func randomName(rng *rand.Rand) string {
	name := make([]byte, 64)
	for k := range name {
		name[k] = byte(33 + rng.IntN(90))
	}
	return string(name)
}

// setScan sets how long a scan takes and whether it fills the link of the daemon.
func (t *sharedTable) setScan(d time.Duration, fills bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scanTime, t.scanFills = d, fills
}

// awaitLink waits until no scan fills the link of the daemon, or ctx ends.
func (v *tableView) awaitLink(ctx context.Context) error {
	for v.scans.Load() > 0 {
		select {
		case <-ctx.Done():
			return ibisnode.Unknown.Wrap(ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// setConfigTime sets how long a daemon reads the whole configuration.
func (t *sharedTable) setConfigTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.configTime = d
}

func (t *sharedTable) setConfig(cfg *ibisjob.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg = cfg
}

// maxQueueTime is the time in the queue beyond which a slow table refuses commits.
const maxQueueTime = time.Second

func (t *sharedTable) setCommitTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commitTime = d
}

func (t *sharedTable) setOneWriteEach(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.oneWriteEach = on
}

func (t *sharedTable) currentCommitTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commitTime
}

// reserveCommit queues a slow commit and returns when it will be applied; it reports false when the queue is
// too long.
func (t *sharedTable) reserveCommit() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(time.Until(t.busyUntil), 0)
	if wait > maxQueueTime {
		return 0, false
	}
	t.busyUntil = time.Now().Add(wait + t.commitTime)
	return wait + t.commitTime, true
}

// tableView is one daemon's access to the table; it can be made unavailable.
type tableView struct {
	*sharedTable
	stateMu     sync.Mutex
	unavailable bool

	serverReads atomic.Int64 // calls of Servers

	link  *ibisharness.Link // of the daemon
	scans atomic.Int64      // under way

	configMu      sync.Mutex
	configVersion int64     // as last read
	configReadAt  time.Time // of the last read of the whole configuration
	configReads   int       // of the whole configuration
	configStuck   bool      // a read of the configuration is not answered
	configWaiting bool      // such a read has begun
	configBegan   time.Time // when the last read of the configuration began
}

// stickConfig makes reads of the configuration remain without an answer, and waits until one has begun.
func (v *tableView) stickConfig(t *testing.T) {
	t.Helper()
	v.configMu.Lock()
	v.configStuck = true
	v.configMu.Unlock()
	ibisharness.Eventually(t, 5*time.Second, "a read of the configuration begins", func() bool {
		v.configMu.Lock()
		defer v.configMu.Unlock()
		return v.configWaiting
	})
}

// configReadInterval is the time after which a daemon reads the whole configuration again although it has not changed.
const configReadInterval = 5 * time.Second

// readWholeConfig takes the time that a slow link needs for the whole configuration, unless this daemon has read it lately.
// A read that ctx ends has to begin again.
func (v *tableView) readWholeConfig(ctx context.Context) error {
	v.mu.Lock()
	version, d := v.cfg.Version, v.configTime
	v.mu.Unlock()
	v.configMu.Lock()
	known := v.configVersion == version && time.Since(v.configReadAt) < configReadInterval
	stuck := v.configStuck
	v.configBegan = time.Now()
	v.configWaiting = v.configWaiting || stuck
	v.configMu.Unlock()
	if stuck {
		<-ctx.Done()
		return ibisnode.Unknown.Wrap(ctx.Err())
	}
	if known || d == 0 {
		return nil
	}
	began := time.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ibisnode.Unknown.Wrap(ctx.Err())
	}
	v.configMu.Lock()
	defer v.configMu.Unlock()
	v.configVersion, v.configReadAt = version, began
	v.configReads++
	return nil
}

func (v *tableView) setUnavailable(unavailable bool) {
	v.stateMu.Lock()
	defer v.stateMu.Unlock()
	v.unavailable = unavailable
}

func (v *tableView) check(ctx context.Context) error {
	if v.silent.Load() {
		<-ctx.Done()
		return ibisnode.Unknown.Wrap(ctx.Err())
	}
	v.stateMu.Lock()
	defer v.stateMu.Unlock()
	if v.unavailable {
		return ibisnode.Unavailable.New("table is set unavailable")
	}
	return ctx.Err()
}

func rowID(table, part, key string) string { return table + "/" + part + "/" + key }

func (v *tableView) Commit(ctx context.Context, tx ibisnode.Tx) (int64, error) {
	if err := v.check(ctx); err != nil {
		return 0, err
	}
	if err := v.awaitLink(ctx); err != nil {
		return 0, err
	}
	v.mu.Lock()
	refused := v.oneWriteEach && v.lastWriter == v
	v.lastWriter = v
	v.mu.Unlock()
	if refused {
		return 0, ibisnode.Unavailable.New("table takes no second write")
	}
	if v.currentCommitTime() == 0 {
		return v.apply(tx)
	}
	wait, ok := v.reserveCommit()
	if !ok {
		return 0, ibisnode.Unavailable.New("too many commits are queued")
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
	case <-ctx.Done(): // it is applied later all the same
		return 0, ibisnode.Unknown.Wrap(ctx.Err())
	}
}

func (t *sharedTable) apply(tx ibisnode.Tx) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaderID := rowID(tx.Table, tx.Partition, tx.Key)
	if t.rows[leaderID].Version != tx.Expected {
		return 0, &ibisnode.ConflictError{Row: t.rows[leaderID]}
	}
	t.version++
	t.rows[leaderID] = ibisnode.Row{Key: tx.Key, Value: tx.Value, Version: t.version}
	for _, r := range tx.Puts {
		t.rows[rowID(r.Table, tx.Partition, r.Key)] = ibisnode.Row{Key: r.Key, Value: r.Value, Version: t.version}
	}
	for _, r := range tx.Removes {
		delete(t.rows, rowID(r.Table, tx.Partition, r.Key))
	}
	if t.loseReplies && t.version%2 == 0 {
		return 0, ibisnode.Unknown.New("the reply was lost")
	}
	return t.version, nil
}

func (v *tableView) Get(ctx context.Context, table, part, key string) (ibisnode.Row, error) {
	if err := v.check(ctx); err != nil {
		return ibisnode.Row{}, err
	}
	if err := v.awaitLink(ctx); err != nil {
		return ibisnode.Row{}, err
	}
	time.Sleep(v.currentCommitTime() / 2)
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rows[rowID(table, part, key)], nil
}

func (v *tableView) Scan(ctx context.Context, table, part string) (rows []ibisnode.Row, _ error) {
	if err := v.check(ctx); err != nil {
		return nil, err
	}
	v.mu.Lock()
	scanTime, fills := v.scanTime, v.scanFills
	v.mu.Unlock()
	if fills {
		if v.scans.Add(1) == 1 {
			v.link.SilenceAll()
		}
		defer func() {
			if v.scans.Add(-1) == 0 {
				v.link.Restore()
			}
		}()
	}
	time.Sleep(scanTime)
	v.mu.Lock()
	defer v.mu.Unlock()
	for k, r := range v.rows {
		if strings.HasPrefix(k, rowID(table, part, "")) {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// Config and Servers implement ibisnode.Directory, available as long as the table is.
func (v *tableView) Config(ctx context.Context) (*ibisjob.Config, time.Duration, error) {
	if err := v.check(ctx); err != nil {
		return nil, 0, err
	}
	if err := v.readWholeConfig(ctx); err != nil {
		return nil, 0, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg, 0, nil
}

func (v *tableView) Servers(ctx context.Context) ([]ibiscell.ServerInfo, error) {
	if err := v.check(ctx); err != nil {
		return nil, err
	}
	v.serverReads.Add(1)
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.servers), nil
}

func (v *tableView) Evacuations(ctx context.Context) ([]string, error) {
	if err := v.check(ctx); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.evacuated), nil
}
