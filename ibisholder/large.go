package ibisholder

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibisjournal"
	"ibiscrank/ibiswork"
)

// inlineBytes is the size of the largest payload or result that is written to the journal. Larger ones are
// stored in the object store, so that journal rows stay small.
const inlineBytes = 64 << 10

// objectTimeout is the timeout of one call to the object store.
const objectTimeout = 5 * time.Second

func payloadKey(id ibiswork.ID) string { return "payload/" + string(id) }

func resultKey(id ibiswork.ID) string { return "result/" + string(id) }

// storeLarge writes a large payload or result of e to the object store before the journal refers to it.
func (h *Holder) storeLarge(ctx context.Context, e *entry) error {
	e.mu.Lock()
	payload, payloadStored := e.saved.Request.Payload, e.saved.PayloadKept
	var result []byte
	if e.saved.Answer != nil {
		result = e.saved.Answer.Result
	}
	resultStored := e.saved.ResultKept
	e.mu.Unlock()
	if len(payload) > inlineBytes && !payloadStored {
		if err := h.putObject(ctx, payloadKey(e.id), payload); err != nil {
			return err
		}
		payloadStored = true
	}
	if len(result) > inlineBytes && !resultStored {
		if err := h.putObject(ctx, resultKey(e.id), result); err != nil {
			return err
		}
		resultStored = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.saved.PayloadKept, e.saved.ResultKept = payloadStored, resultStored
	return nil
}

// putObject writes an object. Every failure is an ibisjournal.Unavailable error, which says that nothing was
// recorded: nothing refers to the object yet.
func (h *Holder) putObject(ctx context.Context, key string, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	if err := h.cfg.Objects.Put(ctx, key, bytes.NewReader(b)); err != nil {
		return ibisjournal.Unavailable.Wrap(err)
	}
	return nil
}

func (h *Holder) getObject(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	r, err := h.cfg.Objects.Get(ctx, key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, ibiswork.MaxPayloadBytes+1))
	return b, Error.Wrap(err)
}

// dropObject deletes an object that is no longer needed. An object that remains does no harm.
func (h *Holder) dropObject(key string) {
	ctx, cancel := context.WithTimeout(h.ctx, objectTimeout)
	defer cancel()
	if err := h.cfg.Objects.Delete(ctx, key); err != nil {
		log.WithFields(log.Fields{"object": key, "error": err}).Debug("ObjectNotDeleted")
	}
}

// withoutStored returns s without the payload and result that are in the object store.
func (s savedEntry) withoutStored() savedEntry {
	if s.PayloadKept {
		s.Request.Payload = nil
	}
	if s.ResultKept && s.Answer != nil {
		a := *s.Answer
		a.Result = nil
		s.Answer = &a
	}
	return s
}

// loadPayload reads the payload of a restored request if it was moved to the object store. It returns false if
// the read fails.
func (h *Holder) loadPayload(ctx context.Context, e *entry) bool {
	e.mu.Lock()
	missing := e.saved.PayloadKept && e.saved.Request.Payload == nil
	e.mu.Unlock()
	if !missing {
		return true
	}
	b, err := h.getObject(ctx, payloadKey(e.id))
	if err != nil {
		log.WithFields(log.Fields{"request": e.id, "error": err}).Warn("PayloadNotRead")
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.saved.Request.Payload = b
	return true
}

// loadResult reads the result of a restored request that has ended, if it was moved to the object store.
func (h *Holder) loadResult(ctx context.Context, e *entry) error {
	e.mu.Lock()
	missing := e.saved.ResultKept && e.saved.Answer != nil && e.saved.Answer.Result == nil
	e.mu.Unlock()
	if !missing {
		return nil
	}
	b, err := h.getObject(ctx, resultKey(e.id))
	if err != nil {
		return ibiswork.Refuse(ibiswork.CodeStoreUnavailable, "the result could not be read from the object store").WithMaybeRun().WithRetryAfter(storeRetryAfter)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := *e.saved.Answer
	a.Result = b
	e.saved.Answer = &a
	return nil
}
