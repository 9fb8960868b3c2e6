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

// Times and bounds of the recovery of a shard.
const (
	recoverDelay = 300 * time.Millisecond
	importBatch  = 64
	cacheFor     = 30 * time.Second
)

// recover makes a shard that was just taken ready: it reads the journals of earlier holders, writes what
// lives into its own, and then looks for tasks that run without any record in a journal.
func (h *Holder) recover(row ibisshard.Row) {
	sh := h.shards[row.Shard]
	current := func() bool { epoch, held := sh.held(); return held && epoch == row.Epoch && h.ctx.Err() == nil }
	for current() {
		entries, err := h.restore(sh, row)
		if err == nil {
			err = h.importAll(sh, row, entries)
		}
		if err == nil {
			break
		}
		log.WithFields(log.Fields{"shard": row.Shard, "error": err}).Warn("ShardNotRecovered")
		time.Sleep(jitter(recoverDelay))
	}
	if !current() || !sh.setState(reading, serving) {
		return
	}
	for _, e := range sh.all() {
		h.driveRestored(e)
	}
	log.WithFields(log.Fields{"shard": row.Shard, "epoch": row.Epoch, "requests": len(sh.all())}).Debug("ShardServing")
	h.cover(sh, row, current)
}

func (h *Holder) driveRestored(e *entry) {
	e.mu.Lock()
	ended := e.state() == stateEnded
	e.mu.Unlock()
	if ended {
		e.shard.retire(e)
		return
	}
	h.drive(e)
}

// restore reads the sources of a shard and makes its entries.
func (h *Holder) restore(sh *shard, row ibisshard.Row) ([]*entry, error) {
	latest := make(map[ibiswork.ID]saved)
	for _, source := range row.Sources {
		records, err := h.sources.read(h.ctx, source, sh.heldSince())
		if err != nil {
			return nil, err
		}
		for _, rec := range records {
			if rec.Shard != row.Shard || rec.Epoch < row.Base {
				continue
			}
			var s saved
			if err := cbor.Unmarshal(rec.Body, &s); err != nil {
				log.WithFields(log.Fields{"request": rec.Request, "error": err}).Error("RecordNotDecoded")
				continue
			}
			if old, ok := latest[rec.Request]; !ok || s.newer(old) {
				latest[rec.Request] = s
			}
		}
	}
	now := time.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	entries := make([]*entry, 0, len(latest))
	for _, s := range latest {
		entries = append(entries, restored(sh, s, now))
	}
	return entries, nil
}

// importAll journals the entries under the new epoch, and records that the sources are needed no more.
func (h *Holder) importAll(sh *shard, row ibisshard.Row, entries []*entry) error {
	for len(entries) > 0 {
		n := min(importBatch, len(entries))
		records := make([]ibisjournal.Record, 0, n)
		for _, e := range entries[:n] {
			rec, err := h.record(e)
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
	done, err := ibisshard.Imported(ctx, h.cfg.Table, h.cfg.Fence, row)
	if err != nil {
		return err
	}
	h.setRow(done)
	return nil
}

// cover asks all owners for tasks of the shard until every backend server has been covered, so that no
// task of an earlier holder can be running unknown.
func (h *Holder) cover(sh *shard, row ibisshard.Row, current func() bool) {
	req := &ibiswire.LocateRequest{From: ibiswire.Holder{Shard: row.Shard, Epoch: row.Epoch, Incarnation: h.cfg.Self}}
	for current() {
		f := h.search(h.ctx, req)
		for _, ev := range f.events {
			h.deliver(ev)
		}
		if h.complete(f) {
			sh.mu.Lock()
			sh.covered = true
			sh.mu.Unlock()
			log.WithFields(log.Fields{"shard": row.Shard, "epoch": row.Epoch, "events": len(f.events)}).Debug("ShardCovered")
			return
		}
		time.Sleep(jitter(2 * locateInterval))
	}
}

// record is the journal's form of e's present state.
func (h *Holder) record(e *entry) (ibisjournal.Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.saved.Rev++
	body, err := e.saved.withoutLarge().encode()
	return ibisjournal.Record{Request: e.id, Shard: e.shard.id, Epoch: e.saved.Epoch, Body: body}, err
}

// forgetEnded drops what ended longer ago than the duplicate window.
func (h *Holder) forgetEnded(now time.Time) {
	for _, sh := range h.shards {
		epoch, held := sh.held()
		if !held {
			continue
		}
		var records []ibisjournal.Record
		for _, e := range sh.forget(now.Add(-h.cfg.DuplicateWindow)) {
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

// sourceCache keeps the journals that were read last, since the shards of one daemon share one journal.
type sourceCache struct {
	table ibistable.Table
	mu    sync.Mutex
	kept  map[string]cachedSource
}

type cachedSource struct {
	records []ibisjournal.Record
	begun   time.Time // when the reading began
}

func newSourceCache(t ibistable.Table) *sourceCache {
	return &sourceCache{table: t, kept: make(map[string]cachedSource)}
}

// read returns the records of a journal as they were at since or later. An earlier holder writes nothing
// more of a shard once the shard was taken, so a reading that began after that has all of them.
func (c *sourceCache) read(ctx context.Context, source string, since time.Time) ([]ibisjournal.Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := time.Now()
	for id, s := range c.kept {
		if begun.Sub(s.begun) > cacheFor {
			delete(c.kept, id)
		}
	}
	if s, ok := c.kept[source]; ok && s.begun.After(since) {
		return s.records, nil
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	records, err := ibisjournal.Read(ctx, c.table, source)
	if err != nil {
		return nil, err
	}
	c.kept[source] = cachedSource{records: records, begun: begun}
	return records, nil
}
