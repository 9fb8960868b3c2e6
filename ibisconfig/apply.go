package ibisconfig

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibistable"
)

// Apply makes one change. A repeat of a change that took effect returns its result again. Errors are of
// the classes Invalid, Unauthorized, Stale, Reused, NotFound, Unavailable, Unknown and Error.
func (s *Store) Apply(ctx context.Context, c Change) (Result, error) {
	if err := c.Check(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstRetryInterval, maxRetryInterval
	maybeDone := false
	for {
		res, err := s.applyOnce(ctx, c)
		switch {
		case err == nil:
			return res, nil
		case Unknown.Has(err):
			maybeDone = true
		case ibistable.Conflict.Has(err):
		case maybeDone && Unavailable.Has(err):
		default:
			return res, err
		}
		timer := time.NewTimer(wait.NextBackOff())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if maybeDone {
				return Result{}, Unknown.New("%v", err) // without the classes of err, which promise more
			}
			return Result{}, Unavailable.Wrap(err)
		}
	}
}

// applyOnce makes one attempt. An error of ibistable.Conflict says that the head moved meanwhile.
func (s *Store) applyOnce(ctx context.Context, c Change) (Result, error) {
	h, err := s.poll(ctx)
	if err != nil {
		return Result{}, err
	}
	res, found, err := s.findEarlier(ctx, c)
	if found || err != nil {
		return res, err
	}
	snap := s.Snapshot()
	if snap.Version != h.Version {
		return Result{}, ibistable.Conflict.New("the configuration changed while it was read")
	}
	if c.By != "" && !snap.operatorKey(c.By) {
		return Result{}, Unauthorized.New("the key of operator %s was withdrawn", c.Operator)
	}
	version := h.Version + 1
	e, err := snap.plan(c, version)
	if err != nil {
		return Result{}, s.withLast(ctx, err)
	}
	writes, err := s.writes(ctx, h, c, e, version)
	if err != nil {
		return Result{}, err
	}
	if _, err := s.table.Commit(ctx, writes...); err != nil {
		return Result{}, commitError(err)
	}
	s.applied(snap, e, version)
	return Result{Version: version}, nil
}

func commitError(err error) error {
	switch {
	case ibistable.Conflict.Has(err):
		return err
	case ibistable.Unavailable.Has(err):
		return Unavailable.Wrap(err)
	case ibistable.Unknown.Has(err):
		return Unknown.Wrap(err)
	}
	// The table names no class, so nothing says that the write did not take effect.
	return Unknown.Wrap(err)
}

// findEarlier looks for an earlier submission of the same change.
func (s *Store) findEarlier(ctx context.Context, c Change) (res Result, found bool, err error) {
	row, err := s.table.Get(ctx, changePrefix+c.ID)
	if ibistable.NotFound.Has(err) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, Unavailable.Wrap(err)
	}
	var a AuditEntry
	if err := cbor.Unmarshal(row.Value, &a); err != nil {
		return Result{}, false, Error.New("change row: %v", err)
	}
	if a.Digest != c.digest() {
		return Result{}, true, Reused.New("%s made version %d with another change", c.ID, a.Version)
	}
	return Result{Version: a.Version, Repeated: true}, true, nil
}

// withLast adds the change that made the present version to a stale error.
func (s *Store) withLast(ctx context.Context, err error) error {
	stale, ok := errors.AsType[*StaleError](err)
	if !ok || stale.Version == 0 {
		return err
	}
	if a, err := s.readAudit(ctx, stale.Version); err == nil {
		stale.Last = &a
	}
	return err
}

// writes is the transaction of one change: the head, the item, the audit entry and the row that a
// repeat finds. Past the retention it also removes the oldest entry.
func (s *Store) writes(ctx context.Context, h head, c Change, e edit, version int64) ([]ibistable.Write, error) {
	a, err := e.audit(c, version)
	if err != nil {
		return nil, err
	}
	entry, err := encode(a)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	next := head{Version: version, Log: append(slices.Clone(h.Log), headEntry{Version: version, Key: e.key})}
	if n := len(next.Log); n > ChangeLogLength {
		next.Log = next.Log[n-ChangeLogLength:]
	}
	headValue, err := encode(next)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	item, err := e.write()
	if err != nil {
		return nil, err
	}
	ws := []ibistable.Write{
		ibistable.Put(headKey, h.row, headValue),
		item,
		ibistable.Put(auditKey(version), ibistable.Absent, entry),
		ibistable.Put(changePrefix+c.ID, ibistable.Absent, entry),
	}
	if old, err := s.readAudit(ctx, version-s.retention); err == nil {
		ws = append(ws, ibistable.Delete(auditKey(old.Version), ibistable.Any), ibistable.Delete(changePrefix+old.Change, ibistable.Any))
	}
	return ws, nil
}

// applied publishes the change that this store has just made.
func (s *Store) applied(base *Snapshot, e edit, version int64) {
	value := []byte(nil)
	if w, err := e.write(); err == nil {
		value = w.Value
	}
	snap := base.clone()
	if err := snap.setRow(e.key, value); err != nil {
		return // the next Poll reads it
	}
	snap.Version = version
	s.publish(snap)
}

// Audit lists the newest accepted changes, the newest first, at most limit of them.
func (s *Store) Audit(ctx context.Context, limit int) ([]AuditEntry, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	from := max(h.Version-int64(limit)+1, 0)
	rows, err := s.table.Scan(ctx, auditKey(from), ibistable.PrefixEnd(auditPrefix), limit)
	if err != nil {
		return nil, Unavailable.Wrap(err)
	}
	entries := make([]AuditEntry, 0, len(rows))
	for _, row := range slices.Backward(rows) {
		var a AuditEntry
		if err := cbor.Unmarshal(row.Value, &a); err != nil {
			return nil, Error.New("%s: %v", row.Key, err)
		}
		entries = append(entries, a)
	}
	return entries, nil
}

func (s *Store) readAudit(ctx context.Context, version int64) (AuditEntry, error) {
	var a AuditEntry
	if version <= 0 {
		return a, NotFound.New("no version %d", version)
	}
	row, err := s.table.Get(ctx, auditKey(version))
	if err != nil {
		return a, Unavailable.Wrap(err)
	}
	return a, Error.Wrap(cbor.Unmarshal(row.Value, &a))
}
