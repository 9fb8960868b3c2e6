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

// Limits of a Store.
const (
	// ChangeLogLength is the number of versions whose changed rows the head row lists. A store that is further
	// behind reads all rows.
	ChangeLogLength = 64
	// AuditRetention is the number of versions for which the audit log and the change IDs are kept.
	AuditRetention = 200_000
	// ApplyTimeout bounds one Apply including its retries.
	ApplyTimeout = 8 * time.Second
	// maxReadAttempts bounds how often one Poll reads changed rows, which it repeats if the head changes
	// meanwhile, and how often it tries to create the head.
	maxReadAttempts = 8
	// firstRetryInterval and maxRetryInterval bound the jittered backoff between attempts of Apply.
	firstRetryInterval = 5 * time.Millisecond
	maxRetryInterval   = 500 * time.Millisecond
)

// head is the row that every change replaces, so that changes are serialized.
type head struct {
	Version    int64       `json:"Version"`
	Log        []headEntry `json:"Log,omitempty"` // newest last
	rowVersion int64       // of the row in the table, the precondition of replacing it
}

// headEntry names the row that one version changed.
type headEntry struct {
	Version int64  `json:"Version"`
	Key     string `json:"Key"`
}

// Store reads and changes the configuration in the table and publishes the newest snapshot. It is safe for
// concurrent use.
type Store struct {
	table              ibistable.Table
	mu                 sync.Mutex // guards the maps below and serializes updates of current
	current            atomic.Pointer[Snapshot]
	bootstrap          KeyHash
	retention          int64              // versions, AuditRetention except in tests
	pendingWithdrawals map[KeyHash]Change // accepted by this store while the table was unavailable
	skippedCalls       map[KeyHash]int    // calls of ApplyWithdrawals that left a withdrawal to the store that accepted it
}

// NewStore returns a store whose snapshot is empty and at version zero until the first Poll or Adopt.
func NewStore(t ibistable.Table) *Store {
	s := &Store{table: t, retention: AuditRetention}
	s.current.Store((&Snapshot{}).clone().Indexed())
	return s
}

// WithBootstrap sets the hash of the key of BootstrapOperator. It must be called before the store is used.
func (s *Store) WithBootstrap(h KeyHash) *Store {
	s.bootstrap = h
	return s
}

// Snapshot returns the current snapshot. It is never nil; its Version is zero until the configuration was read.
func (s *Store) Snapshot() *Snapshot { return s.current.Load() }

// publish replaces the current snapshot by snap if snap has a higher version, and reports whether it did.
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

// Adopt merges the deny set of a valid snapshot from a peer and publishes the snapshot if it is newer than the
// current one. It reports whether it was published. Invalid snapshots are ignored.
func (s *Store) Adopt(snap *Snapshot) bool {
	if snap == nil || snap.Check() != nil {
		return false
	}
	s.MergeDenied(sortedHashes(snap.Denied))
	return s.publish(snap.clone())
}

// Poll reads the head and, if it is newer than the current snapshot, the rows that changed, and publishes the
// result. The first Poll of an empty table creates the head. Errors are of the classes Unavailable and Error.
func (s *Store) Poll(ctx context.Context) error {
	_, err := s.poll(ctx)
	return err
}

// poll does the work of Poll and returns the head. On success, the current snapshot is at the version of the
// head or a newer one. It reads the head again after the rows: if the head has changed, the rows may belong to
// different versions, and it reads those that changed meanwhile.
func (s *Store) poll(ctx context.Context) (head, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return h, err
	}
	base := s.Snapshot()
	for range maxReadAttempts {
		if h.Version <= base.Version {
			s.publish(base)
			return h, nil
		}
		base, err = s.readChanges(ctx, base, h)
		if err != nil {
			return h, err
		}
		latest, err := s.readHead(ctx)
		if err != nil {
			return h, err
		}
		if latest.Version == h.Version {
			s.publish(base)
			return latest, nil
		}
		h = latest
	}
	return h, Unavailable.New("the configuration changed %d times while it was read", maxReadAttempts)
}

// readHead reads the head and creates it in an empty table. Creation is conditional on the absence of the row,
// so it is safe to retry when its outcome is unknown.
func (s *Store) readHead(ctx context.Context) (head, error) {
	b, err := encode(head{Version: 1})
	if err != nil {
		return head{}, err
	}
	for range maxReadAttempts {
		h, err := s.getHead(ctx)
		if !ibistable.NotFound.Has(err) {
			return h, Unavailable.Wrap(err)
		}
		_, err = s.table.Commit(ctx, ibistable.Put(headKey, ibistable.Absent, b))
		if err != nil && !ibistable.Conflict.Has(err) && !ibistable.Unknown.Has(err) {
			return h, Unavailable.Wrap(err)
		}
	}
	return head{}, Unavailable.New("the head row could not be created in %d attempts", maxReadAttempts)
}

func (s *Store) getHead(ctx context.Context) (head, error) {
	row, err := s.table.Get(ctx, headKey)
	if err != nil {
		return head{}, err
	}
	h := head{rowVersion: row.Version}
	if err := cbor.Unmarshal(row.Value, &h); err != nil {
		return h, Error.New("cannot decode row %s: %v", headKey, err)
	}
	return h, nil
}

// readChanges returns a copy of base with the rows that changed since its version, or all rows if the change
// log of h does not reach back that far. Rows may be newer than h; the caller must read the head again.
func (s *Store) readChanges(ctx context.Context, base *Snapshot, h head) (*Snapshot, error) {
	keys, ok := h.changedSince(base.Version)
	if !ok {
		return s.readAll(ctx, h)
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

// changedSince returns the keys of the rows that changed after version. It reports false if the log does not
// reach back to version.
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

func (s *Store) readAll(ctx context.Context, h head) (*Snapshot, error) {
	const pageSize = 500 // rows
	snap := (&Snapshot{Version: h.Version}).clone()
	for _, prefix := range []string{teamPrefix, operatorPrefix, setAsidePrefix, evacuationPrefix} {
		for row, err := range ibistable.ScanPrefix(ctx, s.table, prefix, pageSize) {
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
