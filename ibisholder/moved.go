package ibisholder

import (
	"context"

	"github.com/apex/log"

	"ibiscrank/ibisrpc"
	"ibiscrank/ibiswire"
)

// ShardsMoved takes in what another daemon says of shards that it has taken or given up.
func (h *Holder) ShardsMoved(_ context.Context, m *ibiswire.ShardsMoved) (*ibiswire.ShardsMovedReply, error) {
	for _, t := range m.Taken {
		if t.Shard < 0 || t.Shard >= len(h.hints) {
			continue
		}
		if old := h.hints[t.Shard].Load(); old == nil || old.Epoch < t.Epoch {
			h.hints[t.Shard].Store(&t)
		}
		if h.cfg.ShardTaken != nil {
			h.cfg.ShardTaken(t.Shard, t.Epoch)
		}
	}
	if len(m.Released) > 0 {
		h.Wake()
	}
	return &ibiswire.ShardsMovedReply{}, nil
}

// tell sends a hint to every other daemon, without waiting for those that do not answer.
func (h *Holder) tell(m *ibiswire.ShardsMoved) {
	for _, peer := range h.cfg.View().Members {
		if peer.ID() == h.cfg.Self {
			continue
		}
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			ctx, cancel := context.WithTimeout(h.ctx, callMargin)
			defer cancel()
			if _, err := ibisrpc.Call[ibiswire.ShardsMovedReply](ctx, h.cfg.Pool, peer.Digest.Row.Address, ibiswire.MethodShardsMoved, m); err != nil {
				log.WithFields(log.Fields{"peer": peer.ID(), "error": err}).Debug("ShardsMovedNotTold")
			}
		}()
	}
}
