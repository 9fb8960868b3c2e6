package ibisholder

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisjournal"
	"ibiscrank/ibisshard"
	"ibiscrank/ibistable"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Timeouts and limits of the recovery of a shard.
const (
	recoverRetryDelay = 300 * time.Millisecond
	importBatch       = 64 // records per Append
	sourceCacheTTL    = 30 * time.Second
)

// recoverShard makes a shard that was just acquired ready: it reads the journals of previous holders and
// imports their entries into its own journal. Then the shard is served, while recoverShard searches for
// running tasks that are in no journal.
func (h *Holder) recoverShard(row ibisshard.Row) {
	sh := h.shards[row.Shard]
	stillHeld := func() bool { epoch, held := sh.held(); return held && epoch == row.Epoch && h.ctx.Err() == nil }
	for stillHeld() {
		entries, err := h.readEntries(sh, row)
		if err == nil {
			err = h.importEntries(sh, row, entries)
		}
		if err == nil {
			break
		}
		log.WithFields(log.Fields{"shard": row.Shard, "error": err}).Warn("ShardNotRecovered")
		time.Sleep(jitter(recoverRetryDelay))
	}
	if !stillHeld() || !sh.setState(shardRecovering, shardServing) {
		return
	}
	for _, e := range sh.all() {
		h.resumeRestored(e)
	}
	log.WithFields(log.Fields{"shard": row.Shard, "epoch": row.Epoch, "requests": len(sh.all())}).Debug("ShardServing")
	h.discoverTasks(sh, row, stillHeld)
}

func (h *Holder) resumeRestored(e *entry) {
	e.mu.Lock()
	ended := e.state() == stateEnded
	e.mu.Unlock()
	if ended {
		e.shard.addEnded(e)
		return
	}
	h.startDriver(e)
}

// readEntries reads the journals of previous holders and returns the entries of the shard in them.
func (h *Holder) readEntries(sh *shard, row ibisshard.Row) ([]*entry, error) {
	latest := make(map[ibiswork.ID]savedEntry)
	for _, source := range row.Sources {
		records, err := h.sources.read(h.ctx, source, sh.acquiredAt())
		if err != nil {
			return nil, err
		}
		for _, rec := range records {
			if rec.Shard != row.Shard || rec.Epoch < row.Base {
				continue
			}
			var s savedEntry
			if err := cbor.Unmarshal(rec.Body, &s); err != nil {
				log.WithFields(log.Fields{"request": rec.Request, "error": err}).Error("RecordNotDecoded")
				continue
			}
			if old, ok := latest[rec.Request]; !ok || s.newerThan(old) {
				latest[rec.Request] = s
			}
		}
	}
	now := time.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	entries := make([]*entry, 0, len(latest))
	for _, s := range latest {
		entries = append(entries, newRestoredEntry(sh, s, now))
	}
	return entries, nil
}

// importEntries journals the entries under the new epoch, and records in the shard row that the sources are
// no longer needed.
func (h *Holder) importEntries(sh *shard, row ibisshard.Row, entries []*entry) error {
	for len(entries) > 0 {
		n := min(importBatch, len(entries))
		records := make([]ibisjournal.Record, 0, n)
		for _, e := range entries[:n] {
			rec, err := h.newRecord(e)
			if err != nil {
				return err
			}
			records = append(records, rec)
		}
		ctx, cancel := context.WithTimeout(h.ctx, controlTimeout)
		err := h.cfg.Journal.Append(ctx, records...)
		cancel()
		if err != nil {
			return err
		}
		for _, e := range entries[:n] {
			sh.put(e)
		}
		entries = entries[n:]
	}
	ctx, cancel := context.WithTimeout(h.ctx, controlTimeout)
	defer cancel()
	imported, err := ibisshard.MarkImported(ctx, h.cfg.Table, h.cfg.Fence, row)
	if err != nil {
		return err
	}
	h.setRow(imported)
	return nil
}

// discoverTasks asks all owners for tasks of the shard until every backend server is covered, so that no task
// of a previous holder can be running without an entry here.
func (h *Holder) discoverTasks(sh *shard, row ibisshard.Row, stillHeld func() bool) {
	req := &ibiswire.LocateRequest{From: ibiswire.Holder{Shard: row.Shard, Epoch: row.Epoch, Incarnation: h.cfg.Self}}
	for stillHeld() {
		result := h.search(h.ctx, req)
		for _, ev := range result.events {
			h.deliverEvent(ev)
		}
		if h.allServersCovered(result) {
			sh.mu.Lock()
			sh.covered = true
			sh.mu.Unlock()
			log.WithFields(log.Fields{"shard": row.Shard, "epoch": row.Epoch, "events": len(result.events)}).Debug("ShardCovered")
			return
		}
		time.Sleep(jitter(2 * locateInterval))
	}
}

// newRecord returns the journal record of the current state of e, under the next revision.
func (h *Holder) newRecord(e *entry) (ibisjournal.Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.saved.Rev++
	body, err := e.saved.withoutStored().encode()
	return ibisjournal.Record{Request: e.id, Shard: e.shard.id, Epoch: e.saved.Epoch, Body: body}, err
}

// evictEnded drops the requests that ended longer ago than the duplicate window, in memory and in the journal.
func (h *Holder) evictEnded(now time.Time) {
	for _, sh := range h.shards {
		epoch, held := sh.held()
		if !held {
			continue
		}
		var records []ibisjournal.Record
		for _, e := range sh.evictEnded(now.Add(-h.cfg.DuplicateWindow)) {
			records = append(records, ibisjournal.Record{Request: e.id, Shard: sh.id, Epoch: epoch})
			if e.saved.ResultKept {
				h.dropObject(resultKey(e.id))
			}
		}
		if len(records) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(h.ctx, controlTimeout)
		if err := h.cfg.Journal.Append(ctx, records...); err != nil {
			log.WithFields(log.Fields{"shard": sh.id, "error": err}).Warn("RecordsNotForgotten")
		}
		cancel()
	}
}

// sourceCache caches the journals that were read last: all shards of one daemon share one journal, so a daemon
// that acquires several of them reads it once.
type sourceCache struct {
	table   ibistable.Table
	mu      sync.Mutex
	sources map[string]cachedSource
}

type cachedSource struct {
	records []ibisjournal.Record
	readAt  time.Time // start of the read
}

func newSourceCache(t ibistable.Table) *sourceCache {
	return &sourceCache{table: t, sources: make(map[string]cachedSource)}
}

// read returns the records of a journal as of notBefore or later. A previous holder writes no more records of
// a shard once another daemon has acquired it, so a read that started after that is complete.
func (c *sourceCache) read(ctx context.Context, source string, notBefore time.Time) ([]ibisjournal.Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for id, s := range c.sources {
		if now.Sub(s.readAt) > sourceCacheTTL {
			delete(c.sources, id)
		}
	}
	if s, ok := c.sources[source]; ok && s.readAt.After(notBefore) {
		return s.records, nil
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	records, err := ibisjournal.Read(ctx, c.table, source)
	if err != nil {
		return nil, err
	}
	c.sources[source] = cachedSource{records: records, readAt: now}
	return records, nil
}
