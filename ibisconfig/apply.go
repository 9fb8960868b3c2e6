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

// Apply applies one change. It is idempotent: a repeat of a change that took effect returns the result of that
// change. It retries conflicts and unknown outcomes with backoff for up to ApplyTimeout. Errors are of the
// classes Invalid, Unauthorized, Stale, Reused, NotFound, Unavailable, Unknown and Error.
func (s *Store) Apply(ctx context.Context, c Change) (Result, error) {
	if err := c.Check(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstRetryInterval, maxRetryInterval
	maybeApplied := false // an earlier attempt had an unknown outcome
	for {
		res, err := s.applyOnce(ctx, c)
		switch {
		case err == nil:
			return res, nil
		case Unknown.Has(err):
			maybeApplied = true
		case ibistable.Conflict.Has(err):
		case maybeApplied && Unavailable.Has(err):
		default:
			return res, err
		}
		timer := time.NewTimer(wait.NextBackOff())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if maybeApplied {
				return Result{}, Unknown.New("%v", err) // not wrapped: the class of err may rule out a write
			}
			return Result{}, Unavailable.Wrap(err)
		}
	}
}

// applyOnce makes one attempt. An error of class ibistable.Conflict means that another change came first.
func (s *Store) applyOnce(ctx context.Context, c Change) (Result, error) {
	h, err := s.poll(ctx)
	if err != nil {
		return Result{}, err
	}
	res, found, err := s.findAccepted(ctx, c)
	if found || err != nil {
		return res, err
	}
	snap := s.Snapshot()
	if snap.Version != h.Version {
		return Result{}, ibistable.Conflict.New("the configuration changed while it was read")
	}
	if c.OperatorKey != "" && !snap.hasOperatorKey(c.OperatorKey) {
		return Result{}, Unauthorized.New("the key of operator %s is no longer in force", c.Operator)
	}
	version := h.Version + 1
	e, err := snap.plan(c, version)
	if err != nil {
		return Result{}, s.withLastChange(ctx, err)
	}
	writes, err := s.buildWrites(ctx, h, c, e, version)
	if err != nil {
		return Result{}, err
	}
	if _, err := s.table.Commit(ctx, writes...); err != nil {
		return Result{}, commitError(err)
	}
	s.publishEdit(snap, e, version)
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
	// Without a known class, the write may have taken effect.
	return Unknown.Wrap(err)
}

// findAccepted returns the result of an earlier submission of c that took effect. It returns a Reused error if
// the ID of c belongs to a different change.
func (s *Store) findAccepted(ctx context.Context, c Change) (res Result, found bool, err error) {
	row, err := s.table.Get(ctx, changePrefix+c.ID)
	if ibistable.NotFound.Has(err) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, Unavailable.Wrap(err)
	}
	var a AuditEntry
	if err := cbor.Unmarshal(row.Value, &a); err != nil {
		return Result{}, false, Error.New("cannot decode row %s: %v", row.Key, err)
	}
	if a.Digest != c.digest() {
		return Result{}, true, Reused.New("%s belongs to a different change, which made version %d", c.ID, a.Version)
	}
	return Result{Version: a.Version, Repeated: true}, true, nil
}

// withLastChange adds to a StaleError the change that made the current version, if it can be read.
func (s *Store) withLastChange(ctx context.Context, err error) error {
	stale, ok := errors.AsType[*StaleError](err)
	if !ok || stale.Version == 0 {
		return err
	}
	if a, err := s.readAudit(ctx, stale.Version); err == nil {
		stale.Last = &a
	}
	return err
}

// buildWrites returns the transaction of one change, which writes the head, the item, the audit entry and the
// change row, by which repeats are recognized. It also deletes the audit entry and the change row of the version
// that is no longer to be retained.
func (s *Store) buildWrites(ctx context.Context, h head, c Change, e edit, version int64) ([]ibistable.Write, error) {
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
		ibistable.Put(headKey, h.rowVersion, headValue),
		item,
		ibistable.Put(auditKey(version), ibistable.Absent, entry),
		ibistable.Put(changePrefix+c.ID, ibistable.Absent, entry),
	}
	if old, err := s.readAudit(ctx, version-s.retention); err == nil {
		ws = append(ws, ibistable.Delete(auditKey(old.Version), ibistable.Any), ibistable.Delete(changePrefix+old.Change, ibistable.Any))
	}
	return ws, nil
}

// publishEdit publishes base with e applied, after this store has committed e.
func (s *Store) publishEdit(base *Snapshot, e edit, version int64) {
	value := []byte(nil)
	if w, err := e.write(); err == nil {
		value = w.Value
	}
	snap := base.clone()
	if err := snap.setRow(e.key, value); err != nil {
		return // the next Poll reads the row
	}
	snap.Version = version
	s.publish(snap)
}

// Audit returns up to limit of the most recent accepted changes, newest first. Errors are of the classes
// Unavailable and Error.
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
			return nil, Error.New("cannot decode row %s: %v", row.Key, err)
		}
		entries = append(entries, a)
	}
	return entries, nil
}

func (s *Store) readAudit(ctx context.Context, version int64) (AuditEntry, error) {
	var a AuditEntry
	if version <= 0 {
		return a, NotFound.New("there is no version %d", version)
	}
	row, err := s.table.Get(ctx, auditKey(version))
	if err != nil {
		return a, Unavailable.Wrap(err)
	}
	return a, Error.Wrap(cbor.Unmarshal(row.Value, &a))
}
