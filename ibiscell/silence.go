package ibiscell

import (
	"slices"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
)

// A server that no longer answers may go on with its runs until its leases have ended, and they start elsewhere only then. A
// leader journals by when that is, so that the next one does not wait for the longest leases that could have been granted. As
// long as such a record stands, no leader grants the server leases; when it answers, they begin again once the removal of the
// record is committed.

const (
	silentAfterMS    = 1000 // without an answer, after a failed renewal, until a server counts as silent
	unclaimedAfterMS = 3000 // the same for a server that has not answered a new leader yet; claiming all of a large cell takes seconds
	silenceRewriteMS = 1500 // between records of one silence; a new leader counts the time in the last one from when it reads it
)

// silence is the record of a server's silence in the journal.
type silence struct {
	recorded  bool // it is in the journal, or may be
	writtenAt Time
	removing  bool // its removal is being committed
	queued    bool // it is to be written or removed
}

// silenceRecord is the value of a row of TableSilences, whose key is the server's ID.
type silenceRecord struct {
	_           struct{} `cbor:",toarray"`
	Incarnation int64
	RemainingMS int64 // time after the commit in which all leases on the incarnation will have ended
	// The next incarnation may have started the runs that this one had not listed; so long, they may be at work there.
	UnlistedMS int64
	Unlisted   []string // their tasks
}

// UnmarshalCBOR also reads the record of earlier versions, which does not name such runs.
func (r *silenceRecord) UnmarshalCBOR(b []byte) error {
	type current silenceRecord
	if err := cbor.Unmarshal(b, (*current)(r)); err == nil {
		return nil
	}
	var old struct {
		_           struct{} `cbor:",toarray"`
		Incarnation int64
		RemainingMS int64
	}
	if err := cbor.Unmarshal(b, &old); err != nil {
		return err
	}
	*r = silenceRecord{Incarnation: old.Incarnation, RemainingMS: old.RemainingMS}
	return nil
}

// silenceRecord returns the record of s.
func (e *Engine) silenceRecord(s *server) silenceRecord {
	rec := silenceRecord{Incarnation: s.info.Incarnation, RemainingMS: max(s.leasesExpireBy-e.now, 0)}
	for _, r := range s.runs {
		if end := e.leaseEndsBy(r); end > s.leasesExpireBy {
			rec.UnlistedMS = max(rec.UnlistedMS, end-e.now)
			rec.Unlisted = append(rec.Unlisted, r.name.Task)
		}
	}
	slices.Sort(rec.Unlisted)
	return rec
}

// silent reports whether s has runs and does not answer.
func (e *Engine) silent(s *server) bool {
	if len(s.runs) == 0 {
		return false
	}
	since := e.now - s.lastContact
	return s.crashSeen || s.renewFailed && since >= silentAfterMS || !s.claimed && since >= unclaimedAfterMS
}

// checkSilence queues the record of s if it is to be written or removed.
func (e *Engine) checkSilence(s *server) {
	if s.silence.queued || s.silence.removing {
		return
	}
	write := e.silent(s) && (!s.silence.recorded || e.now-s.silence.writtenAt >= silenceRewriteMS && e.now < e.allLeasesEndBy(s))
	if write || e.silenceOver(s) {
		s.silence.queued = true
		e.journal.silences = append(e.journal.silences, s)
	}
}

// silenceOver reports whether s has a record that is not needed any more.
func (e *Engine) silenceOver(s *server) bool {
	return s.silence.recorded && (len(s.runs) == 0 || s.claimed && !s.renewFailed && !s.crashSeen)
}

// addSilences adds the queued records to the batch, as far as it has space for them.
func (e *Engine) addSilences(b *Batch) {
	n := min(max(MaxBatchRows-len(b.Puts)-len(b.Removes), 0), len(e.journal.silences))
	for _, s := range e.journal.silences[:n] {
		s.silence.queued = false
		switch {
		case e.silenceOver(s):
			s.silence.removing = true
			b.Removes = append(b.Removes, Row{Table: TableSilences, Key: s.info.ID})
			b.onCommit = append(b.onCommit, func() {
				s.silence = silence{}
				s.nextRenewal, e.placementDue = e.now, true
				e.serverLog(s).Info("ServerSilenceOver")
			})
		case e.silent(s):
			rec := e.silenceRecord(s)
			if !s.silence.recorded {
				e.serverLog(s).WithFields(log.Fields{"Runs": len(s.runs), "HeardMSAgo": e.now - s.lastContact, "LeasesEndInMS": rec.RemainingMS, "Unlisted": len(rec.Unlisted)}).Info("ServerSilent")
			}
			s.silence.recorded, s.silence.writtenAt = true, e.now
			b.Puts = append(b.Puts, Row{Table: TableSilences, Key: s.info.ID, Value: encode(rec)})
		}
	}
	e.journal.silences = slices.Clone(e.journal.silences[n:])
}

// recoverSilences reads the records of previous leaders, after the runs have been recovered.
func (e *Engine) recoverSilences(rows []Row) {
	for _, row := range rows {
		var rec silenceRecord
		if err := cbor.Unmarshal(row.Value, &rec); err != nil {
			e.logUnreadable(row, err)
			continue
		}
		s := e.servers[row.Key]
		if s == nil {
			e.journal.removes = append(e.journal.removes, Row{Table: row.Table, Key: row.Key})
			continue
		}
		s.silence = silence{recorded: true, writtenAt: e.now}
		if s.info.Incarnation == rec.Incarnation {
			s.leasesExpireBy = min(s.leasesExpireBy, e.now+rec.RemainingMS)
			for _, r := range s.runs {
				if slices.Contains(rec.Unlisted, r.name.Task) {
					r.leasedUntil = e.now + rec.UnlistedMS
				}
			}
		}
		e.serverLog(s).WithFields(log.Fields{"Runs": len(s.runs), "RecordedBorn": rec.Incarnation, "LeasesEndInMS": s.leasesExpireBy - e.now}).Info("ServerSilenceRecovered")
	}
}
