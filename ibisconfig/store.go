package ibisconfig

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibistable"
)

// Bounds on what the store does.
const (
	// ChangeLogLength is how many versions the head names the changed rows of.
	ChangeLogLength = 64
	// AuditRetention is how many versions the audit list keeps; a change ID is known for as long.
	AuditRetention = 200_000
	// ApplyTimeout bounds one Apply, its retries included.
	ApplyTimeout = 8 * time.Second
	// pullAttempts bounds how often one Poll starts again because the head moved meanwhile.
	pullAttempts = 8
	// firstRetryInterval and maxRetryInterval bound the jittered backoff between attempts of Apply.
	firstRetryInterval = 5 * time.Millisecond
	maxRetryInterval   = 500 * time.Millisecond
)

// head is the row that every change replaces.
type head struct {
	Version int64       `json:"Version"`
	Log     []headEntry `json:"Log,omitempty"` // the newest last
	row     int64       // the version of the row
}

// headEntry names the row that one version changed.
type headEntry struct {
	Version int64  `json:"Version"`
	Key     string `json:"Key"`
}

// Store reads and changes the configuration in the table and publishes the newest snapshot.
type Store struct {
	table     ibistable.Table
	mu        sync.Mutex // serializes publications
	current   atomic.Pointer[Snapshot]
	bootstrap KeyHash
	retention int64              // versions that the audit list keeps
	later     map[KeyHash]Change // withdrawals that this store accepted while the table was away
	skipped   map[KeyHash]int    // how often a withdrawal was left to the store that accepted it
}

// NewStore makes a store that knows nothing yet.
func NewStore(t ibistable.Table) *Store {
	s := &Store{table: t, retention: AuditRetention}
	s.current.Store((&Snapshot{}).clone().Indexed())
	return s
}

// WithBootstrap sets the hash of the key that may administer a table that names no operator. It is
// called before the store is used.
func (s *Store) WithBootstrap(h KeyHash) *Store {
	s.bootstrap = h
	return s
}

// Snapshot is the newest configuration. It is never nil; Version 0 means that nothing is known yet.
func (s *Store) Snapshot() *Snapshot { return s.current.Load() }

// publish makes snap the present configuration if it is newer.
func (s *Store) publish(snap *Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if snap.Version <= old.Version {
		return false
	}
	snap.Denied = union(old.Denied, snap.Denied)
	s.setBootstrap(snap)
	s.current.Store(snap.Indexed())
	log.WithFields(log.Fields{"from": old.Version, "to": snap.Version}).Info("ConfigPublished")
	return true
}

func (s *Store) setBootstrap(snap *Snapshot) {
	delete(snap.Operators, BootstrapOperator)
	if len(snap.Operators) == 0 && s.bootstrap != "" {
		snap.Operators[BootstrapOperator] = Key{Name: BootstrapOperator, Hash: s.bootstrap}
	}
}

// Adopt takes a snapshot from a peer when it is newer than the present one, and its denied keys in any
// case. It reports whether the configuration was replaced.
func (s *Store) Adopt(snap *Snapshot) bool {
	if snap == nil || snap.Check() != nil {
		return false
	}
	s.MergeDenied(keysOf(snap.Denied))
	return s.publish(snap.clone())
}

// Poll reads the head and, when it is newer, the rows that changed. The first Poll of a fresh table
// creates the head. Errors are of the classes Unavailable and Error.
func (s *Store) Poll(ctx context.Context) error {
	_, err := s.poll(ctx)
	return err
}

// poll returns the head whose version the published snapshot now has, or a newer snapshot.
func (s *Store) poll(ctx context.Context) (head, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return h, err
	}
	base := s.Snapshot()
	for range pullAttempts {
		if h.Version <= base.Version {
			s.publish(base)
			return h, nil
		}
		base, err = s.pull(ctx, base, h)
		if err != nil {
			return h, err
		}
		again, err := s.readHead(ctx)
		if err != nil {
			return h, err
		}
		if again.Version == h.Version {
			s.publish(base)
			return again, nil
		}
		h = again
	}
	return h, Unavailable.New("the configuration changed %d times while it was read", pullAttempts)
}

// readHead reads the head and creates it in a fresh table. Its creation is harmless to repeat.
func (s *Store) readHead(ctx context.Context) (head, error) {
	b, err := encode(head{Version: 1})
	if err != nil {
		return head{}, err
	}
	for range pullAttempts {
		h, err := s.getHead(ctx)
		if !ibistable.NotFound.Has(err) {
			return h, Unavailable.Wrap(err)
		}
		_, err = s.table.Commit(ctx, ibistable.Put(headKey, ibistable.Absent, b))
		if err != nil && !ibistable.Conflict.Has(err) && !ibistable.Unknown.Has(err) {
			return h, Unavailable.Wrap(err)
		}
	}
	return head{}, Unavailable.New("the head could not be created")
}

func (s *Store) getHead(ctx context.Context) (head, error) {
	row, err := s.table.Get(ctx, headKey)
	if err != nil {
		return head{}, err
	}
	h := head{row: row.Version}
	if err := cbor.Unmarshal(row.Value, &h); err != nil {
		return h, Error.New("head: %v", err)
	}
	return h, nil
}

// pull is base with the rows changed up to h. Rows may be newer than h; the caller checks the head again.
func (s *Store) pull(ctx context.Context, base *Snapshot, h head) (*Snapshot, error) {
	keys, ok := h.changedSince(base.Version)
	if !ok {
		return s.pullAll(ctx, h)
	}
	snap := base.clone()
	for _, key := range keys {
		row, err := s.table.Get(ctx, key)
		if err != nil && !ibistable.NotFound.Has(err) {
			return nil, Unavailable.Wrap(err)
		}
		if err := snap.setRow(key, row.Value); err != nil {
			return nil, err
		}
	}
	snap.Version = h.Version
	return snap, nil
}

// changedSince lists the rows that changed after version, or reports that the log does not reach back.
func (h head) changedSince(version int64) (keys []string, ok bool) {
	if version == 0 || len(h.Log) == 0 || h.Log[0].Version > version+1 {
		return nil, false
	}
	for _, e := range h.Log {
		if e.Version > version && !slices.Contains(keys, e.Key) {
			keys = append(keys, e.Key)
		}
	}
	return keys, true
}

func (s *Store) pullAll(ctx context.Context, h head) (*Snapshot, error) {
	const page = 500
	snap := (&Snapshot{Version: h.Version}).clone()
	for _, prefix := range []string{teamPrefix, operatorPrefix, asidePrefix} {
		for row, err := range ibistable.ScanPrefix(ctx, s.table, prefix, page) {
			if err != nil {
				return nil, Unavailable.Wrap(err)
			}
			if err := snap.setRow(row.Key, row.Value); err != nil {
				return nil, err
			}
		}
	}
	return snap, nil
}
