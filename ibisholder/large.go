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

// inlineBytes is the largest payload or result that the journal carries itself; a larger one is kept in
// the object store, so that rows stay small.
const inlineBytes = 64 << 10

// objectTimeout bounds one call to the object store.
const objectTimeout = 5 * time.Second

func payloadKey(id ibiswork.ID) string { return "payload/" + string(id) }

func resultKey(id ibiswork.ID) string { return "result/" + string(id) }

// keepLarge puts a large payload or result of e into the object store before the journal refers to it.
func (h *Holder) keepLarge(ctx context.Context, e *entry) error {
	e.mu.Lock()
	payload, hasPayload := e.saved.Request.Payload, e.saved.PayloadKept
	var result []byte
	if e.saved.Answer != nil {
		result = e.saved.Answer.Result
	}
	hasResult := e.saved.ResultKept
	e.mu.Unlock()
	if len(payload) > inlineBytes && !hasPayload {
		if err := h.putObject(ctx, payloadKey(e.id), payload); err != nil {
			return err
		}
		hasPayload = true
	}
	if len(result) > inlineBytes && !hasResult {
		if err := h.putObject(ctx, resultKey(e.id), result); err != nil {
			return err
		}
		hasResult = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.saved.PayloadKept, e.saved.ResultKept = hasPayload, hasResult
	return nil
}

// putObject writes an object. Any failure counts as the store being away: nothing refers to the object yet.
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

// dropObject deletes an object that nothing needs any more; one that is left over does no harm.
func (h *Holder) dropObject(key string) {
	ctx, cancel := context.WithTimeout(h.ctx, objectTimeout)
	defer cancel()
	if err := h.cfg.Objects.Delete(ctx, key); err != nil {
		log.WithFields(log.Fields{"object": key, "error": err}).Debug("ObjectNotDeleted")
	}
}

// withoutLarge is s without what the object store keeps.
func (s saved) withoutLarge() saved {
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

// loadPayload brings back the payload of a restored request, and reports whether it is there.
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

// loadResult brings back the result of a restored request that has ended.
func (h *Holder) loadResult(ctx context.Context, e *entry) error {
	e.mu.Lock()
	missing := e.saved.ResultKept && e.saved.Answer != nil && e.saved.Answer.Result == nil
	e.mu.Unlock()
	if !missing {
		return nil
	}
	b, err := h.getObject(ctx, resultKey(e.id))
	if err != nil {
		return ibiswork.Refuse(ibiswork.CodeStoreUnavailable, "the result cannot be read now").WithMaybeRun().WithRetryAfter(storeRetry)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := *e.saved.Answer
	a.Result = b
	e.saved.Answer = &a
	return nil
}
