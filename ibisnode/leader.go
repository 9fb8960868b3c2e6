package ibisnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"ibiscrank/ibiscell"
)

const (
	leaderPollInterval = 120 * time.Millisecond // between reads of the leader row
	// leaderTimeout is how long the row of an unreachable leader may stay unchanged before the leader is
	// replaced: more than two heartbeats.
	leaderTimeout = 650 * time.Millisecond
	// replaceAfter is how long a reachable leader may go without a commit, while this daemon can read the
	// table, before it is replaced: two heartbeats and a lost reply.
	replaceAfter = 600 * time.Millisecond
	// replaceMax limits the time that replaceAfter grows to while one replacement follows another.
	replaceMax = 5 * time.Second
	// replaceWindow is how long a change of the leader makes the next replacement wait longer.
	replaceWindow = 10 * time.Second
	// commitFactor is the multiple of the leader's average commit time that replaceAfter is at least.
	commitFactor = 5
	// replaceSlowAfter replaces replaceAfter when the table is slow for this daemon too.
	replaceSlowAfter = 3 * time.Second
	// slowReadWindow is how long the table counts as slow after a slow read: the leader's commit may be one of
	// the last slow calls.
	slowReadWindow = 2 * time.Second
	// slowReadThreshold is ten times the usual time of a read; a table that takes longer is slow for all daemons.
	slowReadThreshold = 100 * time.Millisecond
	getTimeout        = 1500 * time.Millisecond
	// recoverTimeout is how long a new leader may take to read the journal: 1.5 MB over 2 Mbit/s, or as long as others may
	// be without a leader. A read that stands still ends earlier.
	recoverTimeout  = 12 * time.Second
	acquireAttempts = 6
	// maxReplyBytes is the most that the platform's table sends in one reply. While it fills the link of a daemon, nothing
	// else arrives.
	maxReplyBytes = 1 << 20
	// maxRecoverySilence limits how long a new leader is waited for that is silent while it reads the journal: the time of
	// such a reply over 2 Mbit/s, the slowest link of all known deployments.
	maxRecoverySilence = 4 * time.Second
	// wireFactor is the ratio of a row's size in the table's replies, as base64 with its names, to that of its value.
	wireFactor = 1.4
	// recoveringPause is the time between attempts to link to a leader that reads the journal.
	recoveringPause = 400 * time.Millisecond
	maxPeersAsked   = 3 // daemons that are asked for the leader in one round
)

// leaderRow is the row of the table that names the leader of the cell. After a leader has stepped down, Name
// and Address are empty.
type leaderRow struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Epoch   int64  `cbor:"3,keyasint"` // grows with each leader
	Seq     int64  `cbor:"4,keyasint"` // grows with each commit of one leader
	Nonce   string `cbor:"5,keyasint"` // random, tells two leaders of the same name apart

	// SilentMS is how long the leader may be silent, and its row unchanged, because a reply to one of its reads fills its
	// link. It is 0 unless the leader reads the journal.
	SilentMS int64 `cbor:"6,keyasint,omitempty"`
}

// recoverySilence is how long this daemon may be silent while it reads the journal.
func (n *Node) recoverySilence() time.Duration {
	if n.settings.LinkSpeed <= 0 {
		return maxRecoverySilence
	}
	return time.Duration(min(maxReplyBytes/n.settings.LinkSpeed, maxRecoverySilence.Seconds()) * float64(time.Second))
}

// rowObservation records since when the leader row has had its present version.
type rowObservation struct {
	version int64
	since   ibiscell.Time // 0: the row hasn't been read yet
	lost    string        // Nonce of the leader to which the link was lost; it isn't opened again before the row changes
}

// followOrLead finds the leader and follows it, and acquires leadership when the leader has failed.
func (n *Node) followOrLead(ctx context.Context) {
	var observed rowObservation
	for ctx.Err() == nil {
		row, leader, err := n.readLeader(ctx)
		if err != nil {
			n.dependencyLost("Table", err)
			n.followKnownLeader(ctx)
			n.sleep(ctx, leaderPollInterval)
			continue
		}
		n.dependencyBack("Table")
		n.recordLeader(leader)
		if row.Version != observed.version || observed.since == 0 {
			lost := ""
			if observed.since == 0 {
				lost = observed.lost
			}
			observed = rowObservation{version: row.Version, since: n.clock.Now(), lost: lost}
		}
		ownRow := leader.Name == n.settings.Name // a previous incarnation of this daemon led last
		silent := false                          // the leader's VM neither answers nor refuses
		if row.Version != 0 && !ownRow && observed.lost != leader.Nonce && leader.Name != "" {
			began := n.clock.Now()
			linked, transfer := n.follow(ctx, leader)
			silent = n.clock.Now()-began >= linkOpenTimeout.Milliseconds()
			if transfer != nil {
				n.acquireAndLead(ctx, leader.Epoch, true)
				observed = rowObservation{}
				continue
			}
			if linked {
				observed = rowObservation{lost: leader.Nonce}
				continue
			}
		}
		if n.recoveringSeenAt != 0 && n.clock.Now()-n.recoveringSeenAt < recoveringPause.Milliseconds() {
			// Its row changes too late if the journal fills its link. Another leader would read the same journal.
			observed.since = n.clock.Now()
			n.sleep(ctx, recoveringPause)
			continue
		}
		// A leader that may still be running gets leaderTimeout; if there is none, only the other candidates
		// are waited for.
		wait := leaderTimeout + n.candidacyDelay(leader.Name)
		if more := min(time.Duration(leader.SilentMS)*time.Millisecond, maxRecoverySilence) - leaderTimeout; silent && more > 0 {
			if age := n.clock.Now() - observed.since; age >= wait.Milliseconds() {
				n.log.WithFields(log.Fields{"Leader": leader.Name, "Epoch": leader.Epoch, "UnchangedMS": age, "AllowedMS": (wait + more).Milliseconds()}).Info("SilentLeaderAwaited")
			}
			wait += more
		}
		if row.Version == 0 && n.settings.FirstRun || ownRow || leader.Name == "" {
			wait = n.candidacyDelay(leader.Name)
			if (leader.Name == "" || ownRow) && n.steppedDownAt != 0 && n.clock.Now()-n.steppedDownAt < steppedDownPause.Milliseconds() {
				wait += steppedDownPause
			}
		}
		if n.clock.Now()-observed.since >= wait.Milliseconds() && !n.isDraining() {
			n.acquireAndLead(ctx, leader.Epoch, false)
			observed = rowObservation{}
			continue
		}
		n.sleep(ctx, leaderPollInterval)
	}
}

// followKnownLeader finds and follows the leader while the table can't be read: the latest leader that this
// daemon knows of, or else one that another daemon names.
func (n *Node) followKnownLeader(ctx context.Context) {
	known := n.knownLeader()
	if known.Epoch > 0 && known.Name != n.settings.Name {
		if linked, transfer := n.follow(ctx, known); linked || transfer != nil || n.knownLeader().Epoch > known.Epoch {
			return
		}
	}
	n.mu.Lock()
	members := slices.Clone(n.members)
	n.mu.Unlock()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	tried := 0
	for _, m := range members {
		if m.Name == n.settings.Name || m.Name == known.Name {
			continue
		}
		if tried++; tried > maxPeersAsked || ctx.Err() != nil {
			return
		}
		// A daemon that doesn't lead answers with the latest leader that it knows of.
		if linked, _ := n.follow(ctx, leaderRow{Name: m.Name, Address: m.Address, Epoch: known.Epoch}); linked || n.knownLeader().Epoch > known.Epoch {
			return
		}
	}
}

// readLeader reads the leader row; the version of an absent one is 0.
func (n *Node) readLeader(ctx context.Context) (Row, leaderRow, error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	row, err := n.table.Get(ctx, tableLeader, cellPartition, leaderKey)
	if err != nil {
		return Row{}, leaderRow{}, err
	}
	var leader leaderRow
	if row.Version != 0 {
		if err := cbor.Unmarshal(row.Value, &leader); err != nil {
			return Row{}, leaderRow{}, Error.New("decode leader row at version %d: %w", row.Version, err)
		}
	}
	return row, leader, nil
}

// shouldReplace reports whether the leader is to be replaced because it hasn't committed for too long although
// this daemon can read the table. While the table is slow for this daemon too, the leader is given more time:
// another leader couldn't write faster.
func (n *Node) shouldReplace(ctx context.Context, f *follower) bool {
	f.mu.Lock()
	age := f.lastPong.CommitAgeMS + n.clock.Now() - f.lastPong.At
	commitTime := time.Duration(f.lastPong.CommitMS) * time.Millisecond
	journalBytes := f.lastPong.JournalBytes
	f.mu.Unlock()
	allowed := max(n.replacementDelay(commitTime), n.journalReadTime(journalBytes)) + n.candidacyDelay(f.leader.Name)
	if age < allowed.Milliseconds() || n.isDraining() {
		return false
	}
	began := n.clock.Now()
	row, leader, err := n.readLeader(ctx)
	now := n.clock.Now()
	if err != nil {
		n.tableFailedAt.Store(now)
		return false
	}
	if leader.Nonce != f.leader.Nonce {
		return false
	}
	if failedAt := n.tableFailedAt.Load(); failedAt > 0 && now-failedAt < allowed.Milliseconds() {
		// The table has been away for this daemon too, and the leader has not had the time to write since.
		n.log.WithFields(log.Fields{"Leader": leader.Name, "CommitMSAgo": age, "TableBackMS": now - failedAt, "AllowedMS": allowed.Milliseconds()}).Debug("TableBackForAll")
		return false
	}
	if now-began > slowReadThreshold.Milliseconds() {
		n.slowReadAt.Store(now)
	}
	if slowAt := n.slowReadAt.Load(); slowAt > 0 && now-slowAt < slowReadWindow.Milliseconds() && age < (replaceSlowAfter+n.candidacyDelay(f.leader.Name)).Milliseconds() {
		n.log.WithFields(log.Fields{"Leader": leader.Name, "CommitMSAgo": age, "ReadMS": now - began}).Debug("TableSlowForAll")
		return false
	}
	n.log.WithFields(log.Fields{"Leader": leader.Name, "CommitMSAgo": age, "AllowedMS": allowed.Milliseconds(), "Version": row.Version}).Warn("LeaderCannotWrite")
	return true
}

// replacementDelay is how long a reachable leader may go without a commit, given the average time that its commits take.
// It doubles with each recent change of the leader after the first: a replacement that has not helped costs more
// than it brings.
func (n *Node) replacementDelay(commitTime time.Duration) time.Duration {
	d := max(replaceAfter, commitFactor*commitTime)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.leaderChanges = slices.DeleteFunc(n.leaderChanges, func(at ibiscell.Time) bool { return now-at > replaceWindow.Milliseconds() })
	for range len(n.leaderChanges) - 1 {
		d *= 2
	}
	return min(d, replaceMax)
}

// journalReadTime is how long the journal takes over this daemon's link. A leader that can be reached is given as long to
// commit, since nobody is served while its replacement reads the journal.
func (n *Node) journalReadTime(journalBytes int64) time.Duration {
	if n.settings.LinkSpeed <= 0 {
		return 0
	}
	seconds := wireFactor * float64(journalBytes) / n.settings.LinkSpeed
	return min(time.Duration(seconds*float64(time.Second)), replaceMax)
}

// acquireAndLead tries to acquire leadership from the leader of the given epoch, and leads the cell until the
// term is over. Requested says that this daemon was told to replace the leader, or decided to while linked.
func (n *Node) acquireAndLead(ctx context.Context, epoch int64, requested bool) {
	began := n.clock.Now()
	t, ok := n.acquire(ctx, epoch)
	if !ok {
		return
	}
	acquired := n.clock.Now()
	termCtx, cancel := context.WithCancel(ctx)
	t.ctx, t.cancel = termCtx, cancel
	own := t.row // the commit loop changes it
	// Other daemons wait for a leader whose row changes; reading the journal may take longer than they wait for one
	// whose row doesn't.
	n.recovering.Store(true)
	var wg sync.WaitGroup
	wg.Go(t.commitLoop)
	defer wg.Wait()
	defer cancel()
	e, err := t.recoverCell()
	n.recovering.Store(false)
	if err != nil {
		t.log.WithError(err).Error("RecoveryFailed")
		n.steppedDownAt = n.clock.Now() // others may be able to read the journal
		return
	}
	t.startedAt = t.n.clock.Now()
	t.log.WithFields(log.Fields{"Asked": requested, "TakeMS": acquired - began, "RecoverMS": n.clock.Now() - acquired, "CommitMSAgo": n.clock.Now() - t.commitAt.Load()}).Info("LeadTaken")
	n.recordLeader(own)
	t.lead(e)
}

// acquire writes this daemon into the leader row with the next epoch. It reports false when another daemon has
// acquired leadership since the given epoch, or when acquireAttempts have failed.
func (n *Node) acquire(ctx context.Context, epoch int64) (*term, bool) {
	nonce := uuid.NewString()
	began := n.clock.Now()
	for attempt := range acquireAttempts {
		row, leader, err := n.readLeader(ctx)
		if err != nil {
			n.sleep(ctx, leaderPollInterval)
			continue
		}
		if leader.Epoch > epoch && leader.Nonce != nonce {
			return nil, false // another daemon was first
		}
		own := leaderRow{Name: n.settings.Name, Address: n.settings.Address, Epoch: leader.Epoch + 1, Nonce: nonce, SilentMS: n.recoverySilence().Milliseconds()}
		version := row.Version
		if leader.Nonce == nonce { // an earlier attempt has taken effect, though its reply was lost
			own.Epoch = leader.Epoch
			return n.newTerm(own, version, began), true
		}
		value, err := cbor.Marshal(own)
		if err != nil {
			n.log.WithError(err).Error("LeaderRowEncoding")
			return nil, false
		}
		version, err = n.commitOnce(ctx, Tx{Partition: cellPartition, Table: tableLeader, Key: leaderKey, Expected: row.Version, Value: value}, attempt)
		if err == nil {
			return n.newTerm(own, version, began), true
		}
		var conflict *ConflictError
		n.log.WithField("Try", attempt).WithError(err).Info("LeadNotTaken")
		if !errors.As(err, &conflict) {
			n.sleep(ctx, leaderPollInterval)
		}
	}
	return nil, false
}

// newTerm returns the term of this daemon as named by row, whose write began at a time.
func (n *Node) newTerm(row leaderRow, version int64, began ibiscell.Time) *term {
	t := &term{
		n: n, row: row, version: version, log: n.log.WithField("Epoch", row.Epoch),
		events: make(chan func(*ibiscell.Engine), maxPendingEvents), batches: make(chan *ibiscell.Batch, 1), done: make(chan struct{}),
		journal: make(map[journalKey]int), links: make(map[*link]bool), unreached: make(map[string]ibiscell.Time), pending: make(map[uint64]func(Reply)),
		openLoggedAt: make(map[string]ibiscell.Time), configParts: make(chan struct{}, maxConfigParts), configWanted: make(chan struct{}, 1),
	}
	t.commitAt.Store(n.clock.Now())
	t.commitBegan.Store(began)
	return t
}

// recoverCell restores the engine from the cell's journal, the configuration and the list of backend servers,
// which are read concurrently.
func (t *term) recoverCell() (*ibiscell.Engine, error) {
	ctx, cancel := context.WithTimeout(t.ctx, recoverTimeout)
	defer cancel()
	began := t.n.clock.Now()
	var wg sync.WaitGroup
	var fleet fleetReading
	rows := make(map[string][]ibiscell.Row)
	var mu sync.Mutex
	var readErr error
	addErr := func(err error) {
		if err != nil {
			mu.Lock()
			readErr = errors.Join(readErr, err)
			mu.Unlock()
		}
	}
	for _, table := range ibiscell.Tables() {
		wg.Go(func() {
			list, err := t.n.table.Scan(ctx, table, cellPartition)
			addErr(err)
			mu.Lock()
			defer mu.Unlock()
			for _, r := range list {
				rows[table] = append(rows[table], ibiscell.Row{Table: table, Key: r.Key, Value: r.Value})
			}
		})
	}
	wg.Go(func() {
		reading, err := t.n.readFleet(ctx, t.n.clock.Now())
		addErr(err)
		fleet = reading
	})
	wg.Go(func() {
		// The cell isn't kept waiting for a configuration that arrives slowly.
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		t.n.readConfig(ctx)
	})
	wg.Wait()
	if readErr != nil {
		return nil, Error.Wrap(readErr)
	}
	settings := t.n.settings.Cell
	settings.Epoch = t.row.Epoch
	e := ibiscell.New(settings, t.log)
	e.SetMemoryGuard(&t.n.heap)
	now := t.n.clock.Now()
	for _, list := range rows {
		t.trackJournal(list, nil) // the committing goroutine has no batch yet
	}
	t.log.WithFields(log.Fields{"Rows": len(t.journal), "KB": t.journalBytes.Load() >> 10, "ReadMS": now - began, "CommitMSAgo": now - t.commitAt.Load()}).Info("JournalRead")
	e.SetUnixTime(now, t.n.clock.UnixMS())
	if cfg := t.n.Config(); cfg != nil {
		e.SetConfig(cfg)
	}
	t.setFleet(e, fleet)
	e.Recover(now, rows)
	e.WriteConfirmed(now, t.commitBegan.Load())
	return e, nil
}

// lead runs the term, whose commit loop is running, until this daemon is deposed, gives up leadership or stops.
func (t *term) lead(e *ibiscell.Engine) {
	var wg sync.WaitGroup
	wg.Go(func() { t.run(e) })
	wg.Go(t.pollServers)
	wg.Go(t.pollConfig)
	t.n.setTerm(t)
	if cfg := t.n.Config(); cfg != nil {
		t.configChanged(cfg) // it may have changed after the recovery read it
	}
	t.updateHelpers()
	<-t.ctx.Done()
	t.n.setTerm(nil)
	t.shutDown()
	wg.Wait()
	if t.steppingDown.Load() {
		t.n.steppedDownAt = t.n.clock.Now()
	}
	t.log.Info("LeadEnded")
}
