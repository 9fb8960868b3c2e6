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
	seekPause     = 120 * time.Millisecond // between looks at the leader's row
	leaderSilent  = 650 * time.Millisecond // without a change of its row, twice its beats: a leader that cannot be reached is replaced
	supplantAfter = 600 * time.Millisecond // without a commit of a leader that can be reached, while others can write: two beats and a lost reply
	supplantSlow  = 3 * time.Second        // the same, when the table is slow for this daemon too
	slowMemory    = 2 * time.Second        // of a slow read: the leader's commit may be one of the last slow ones
	quickRead     = 100 * time.Millisecond // of a row, ten times the usual; a table that takes longer is slow for all
	getTimeout    = 1500 * time.Millisecond
	scanTimeout   = 4 * time.Second
	takeTries     = 6
	peersAsked    = 3 // daemons that are asked for the leader in one round
)

// leaderRow is the row that says who leads the cell.
type leaderRow struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Epoch   int64  `cbor:"3,keyasint"` // grows with each leader
	Seq     int64  `cbor:"4,keyasint"` // grows with each commit of one leader
	Nonce   string `cbor:"5,keyasint"` // tells two leaders of one name apart
}

// sighting is the leader's row as it was when its version was first seen.
type sighting struct {
	version int64
	at      ibiscell.Time
	silent  bool // the leader has been found silent; it is not called again before its row changes
}

// seek looks for the leader, follows it, and takes its place when it is gone.
func (n *Node) seek(ctx context.Context) {
	var seen sighting
	for ctx.Err() == nil {
		row, leader, err := n.readLeader(ctx)
		if err != nil {
			n.lost("Table", err)
			n.followKnown(ctx)
			n.sleep(ctx, seekPause)
			continue
		}
		n.regained("Table")
		n.learnLeader(leader)
		if row.Version != seen.version || seen.at == 0 {
			seen = sighting{version: row.Version, at: n.clock.Now(), silent: seen.silent && seen.at == 0}
		}
		mine := leader.Name == n.set.Name // an earlier process of this daemon
		if row.Version != 0 && !mine && !seen.silent && leader.Name != "" {
			linked, next := n.follow(ctx, leader)
			if next != nil {
				n.takeLead(ctx, leader.Epoch, true)
				seen = sighting{}
				continue
			}
			if linked {
				seen = sighting{silent: true}
				continue
			}
		}
		silent := leaderSilent + n.rank(leader.Name)
		if row.Version == 0 && n.set.FirstRun || mine || leader.Name == "" {
			silent = n.rank(leader.Name)
			if leader.Name == "" && n.clock.Now()-n.vacatedAt < vacatedFor.Milliseconds() {
				silent += vacatedFor
			}
		}
		if n.clock.Now()-seen.at >= silent.Milliseconds() && !n.isDraining() {
			n.takeLead(ctx, leader.Epoch, false)
			seen = sighting{}
			continue
		}
		n.sleep(ctx, seekPause)
	}
}

// followKnown follows a leader without the table: the newest that this daemon or another has heard of.
func (n *Node) followKnown(ctx context.Context) {
	known := n.knownLeader()
	if known.Epoch > 0 && known.Name != n.set.Name {
		if linked, next := n.follow(ctx, known); linked || next != nil || n.knownLeader().Epoch > known.Epoch {
			return
		}
	}
	n.mu.Lock()
	all := slices.Clone(n.members)
	n.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	asked := 0
	for _, m := range all {
		if m.Name == n.set.Name || m.Name == known.Name {
			continue
		}
		if asked++; asked > peersAsked || ctx.Err() != nil {
			return
		}
		// A daemon that does not lead answers with the leader that it knows.
		if linked, _ := n.follow(ctx, leaderRow{Name: m.Name, Address: m.Address, Epoch: known.Epoch}); linked || n.knownLeader().Epoch > known.Epoch {
			return
		}
	}
}

func (n *Node) readLeader(ctx context.Context) (Row, leaderRow, error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	row, err := n.table.Get(ctx, tableLeader, cellPart, leaderKey)
	if err != nil {
		return Row{}, leaderRow{}, err
	}
	var leader leaderRow
	if row.Version != 0 {
		if err := cbor.Unmarshal(row.Value, &leader); err != nil {
			return Row{}, leaderRow{}, Error.New("the leader's row cannot be read: %w", err)
		}
	}
	return row, leader, nil
}

// shouldSupplant reports whether the leader has been unable to write for long although this daemon can reach
// the table.
func (n *Node) shouldSupplant(ctx context.Context, f *follower) bool {
	f.mu.Lock()
	age := f.news.CommitAgeMS + n.clock.Now() - f.news.At
	f.mu.Unlock()
	if age < (supplantAfter+n.rank(f.leader.Name)).Milliseconds() || n.isDraining() {
		return false
	}
	began := n.clock.Now()
	row, leader, err := n.readLeader(ctx)
	if err != nil || leader.Nonce != f.leader.Nonce {
		return false
	}
	now := n.clock.Now()
	if now-began > quickRead.Milliseconds() {
		n.slowAt.Store(now)
	}
	if at := n.slowAt.Load(); at > 0 && now-at < slowMemory.Milliseconds() && age < (supplantSlow+n.rank(f.leader.Name)).Milliseconds() {
		n.log.WithFields(log.Fields{"Leader": leader.Name, "CommitMSAgo": age, "ReadMS": now - began}).Debug("TableSlowForAll")
		return false
	}
	n.log.WithFields(log.Fields{"Leader": leader.Name, "CommitMSAgo": age, "Version": row.Version}).Warn("LeaderCannotWrite")
	return true
}

// takeLead tries to lead the cell and does so until the term is over.
func (n *Node) takeLead(ctx context.Context, epoch int64, asked bool) {
	began := n.clock.Now()
	t, ok := n.win(ctx, epoch)
	if !ok {
		return
	}
	won := n.clock.Now()
	tctx, stop := context.WithCancel(ctx)
	t.ctx, t.stop = tctx, stop
	defer stop()
	e, err := t.recoverCell()
	if err != nil {
		t.log.WithError(err).Error("RecoveryFailed")
		return
	}
	t.log.WithFields(log.Fields{"Asked": asked, "TakeMS": won - began, "RecoverMS": n.clock.Now() - won}).Info("LeadTaken")
	t.lead(e)
}

// win makes this daemon the leader in the table.
func (n *Node) win(ctx context.Context, epoch int64) (*term, bool) {
	nonce := uuid.NewString()
	for try := range takeTries {
		row, leader, err := n.readLeader(ctx)
		if err != nil {
			n.sleep(ctx, seekPause)
			continue
		}
		if leader.Epoch > epoch && leader.Nonce != nonce {
			return nil, false // somebody else was first
		}
		own := leaderRow{Name: n.set.Name, Address: n.set.Address, Epoch: leader.Epoch + 1, Nonce: nonce}
		version := row.Version
		if leader.Nonce == nonce { // an earlier try has been carried out
			own.Epoch = leader.Epoch
			return n.newTerm(own, version), true
		}
		value, err := cbor.Marshal(own)
		if err != nil {
			n.log.WithError(err).Error("LeaderRowEncoding")
			return nil, false
		}
		version, err = n.commit(ctx, Tx{Part: cellPart, Table: tableLeader, Key: leaderKey, Expected: row.Version, Value: value}, try)
		if err == nil {
			return n.newTerm(own, version), true
		}
		var conflict *ConflictError
		n.log.WithField("Try", try).WithError(err).Info("LeadNotTaken")
		if !errors.As(err, &conflict) {
			n.sleep(ctx, seekPause)
		}
	}
	return nil, false
}

func (n *Node) newTerm(row leaderRow, version int64) *term {
	t := &term{
		n: n, row: row, version: version, log: n.log.WithField("Epoch", row.Epoch),
		events: make(chan func(*ibiscell.Engine), eventBacklog), batches: make(chan *ibiscell.Batch, 1), done: make(chan struct{}),
		links: make(map[*link]bool), unreached: make(map[string]bool), answers: make(map[uint64]func(Reply)),
	}
	t.commitAt.Store(n.clock.Now())
	return t
}

// recoverCell reads the cell's journal. The configuration and the list of servers are read at the same time.
func (t *term) recoverCell() (*ibiscell.Engine, error) {
	ctx, cancel := context.WithTimeout(t.ctx, scanTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var servers []ibiscell.ServerInfo
	rows := make(map[string][]ibiscell.Row)
	var mu sync.Mutex
	var failed error
	note := func(err error) {
		if err != nil {
			mu.Lock()
			failed = errors.Join(failed, err)
			mu.Unlock()
		}
	}
	for _, table := range []string{ibiscell.TableJobs, ibiscell.TableProgress, ibiscell.TableEnded} {
		wg.Go(func() {
			list, err := t.n.table.Scan(ctx, table, cellPart)
			note(err)
			mu.Lock()
			defer mu.Unlock()
			for _, r := range list {
				rows[table] = append(rows[table], ibiscell.Row{Table: table, Key: r.Key, Value: r.Value})
			}
		})
	}
	wg.Go(func() {
		list, err := t.n.directory.Servers(ctx)
		note(err)
		servers = list
	})
	wg.Go(func() { t.n.readConfig(ctx) })
	wg.Wait()
	if failed != nil {
		return nil, Error.Wrap(failed)
	}
	set := t.n.set.Cell
	set.Epoch = t.row.Epoch
	e := ibiscell.New(set, t.log)
	now := t.n.clock.Now()
	e.SetUnixTime(now, t.n.clock.UnixMS())
	if cfg := t.n.Config(); cfg != nil {
		e.SetConfig(cfg)
	}
	e.SetServers(now, servers)
	e.Recover(now, rows[ibiscell.TableJobs], rows[ibiscell.TableProgress], rows[ibiscell.TableEnded])
	return e, nil
}

// lead runs the term until this daemon is deposed, hands over or stops.
func (t *term) lead(e *ibiscell.Engine) {
	var wg sync.WaitGroup
	wg.Go(func() { t.run(e) })
	wg.Go(t.commits)
	wg.Go(t.followServers)
	wg.Go(t.followConfig)
	t.n.learnLeader(t.row)
	t.n.setLeader(t)
	if cfg := t.n.Config(); cfg != nil {
		t.configChanged(cfg) // it may have come between the recovery and now
	}
	t.shareHelpers()
	<-t.ctx.Done()
	t.n.setLeader(nil)
	t.close()
	wg.Wait()
	if t.vacating.Load() {
		t.n.vacatedAt = t.n.clock.Now()
	}
	t.log.Info("LeadEnded")
}
