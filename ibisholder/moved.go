package ibisholder

import (
	"context"

	"github.com/apex/log"

	"ibiscrank/ibisrpc"
	"ibiscrank/ibiswire"
)

// ShardsMoved handles the notice of another daemon that it has acquired or released shards.
func (h *Holder) ShardsMoved(_ context.Context, m *ibiswire.ShardsMoved) (*ibiswire.ShardsMovedReply, error) {
	for _, acquired := range m.Acquired {
		if acquired.Shard < 0 || acquired.Shard >= len(h.holderHints) {
			continue
		}
		if prev := h.holderHints[acquired.Shard].Load(); prev == nil || prev.Epoch < acquired.Epoch {
			h.holderHints[acquired.Shard].Store(&acquired)
		}
		if h.cfg.ShardAcquired != nil {
			h.cfg.ShardAcquired(acquired.Shard, acquired.Epoch)
		}
	}
	if len(m.Released) > 0 {
		h.Wake()
	}
	return &ibiswire.ShardsMovedReply{}, nil
}

// broadcastShardsMoved sends m to every other daemon in the background. Errors are only logged: m is a hint,
// and the daemons also read the rows of the table.
func (h *Holder) broadcastShardsMoved(m *ibiswire.ShardsMoved) {
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
