package ibisdaemon

import (
	"context"
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibisallot"
	"ibiscrank/ibisincarnation"
	"ibiscrank/ibisjournal"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisshard"
	"ibiscrank/ibistable"
	"ibiscrank/ibiswire"
)

// cleanUp clears away what incarnations that are over have left: first their allotments, once the owners
// of their tasks have counted them, then their journals and rows. The daemon with the lowest ID does it;
// two that do it at once do no harm.
func (n *node) cleanUp(ctx context.Context) {
	ids := n.view().IDs()
	if len(ids) == 0 || ids[0] != n.inc.ID() || n.life.State() != serving {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	holders, err := ibisallot.Holders(ctx, n.table)
	if err != nil {
		return
	}
	rows, err := ibisincarnation.List(ctx, n.table)
	if err != nil {
		return
	}
	var over []string
	live := make(map[string]bool)
	for _, r := range rows {
		if live[r.ID] = r.State == ibisincarnation.Live; !live[r.ID] {
			over = append(over, r.ID)
		}
	}
	holders = slices.DeleteFunc(holders, func(id string) bool { return live[id] })
	if len(over)+len(holders) == 0 || !n.allClaimed(ctx) {
		return
	}
	for _, id := range holders {
		if err := n.freeAllotments(ctx, id); err != nil {
			log.WithFields(log.Fields{"holder": id, "error": err}).Debug("AllotmentsNotFreed")
			return
		}
	}
	for _, id := range over {
		if err := n.clear(ctx, id); err != nil {
			log.WithFields(log.Fields{"incarnation": id, "error": err}).Debug("IncarnationNotCleared")
		}
	}
}

// freeAllotments lets every daemon take what its tasks need of a holder that is over, and frees the rest.
func (n *node) freeAllotments(ctx context.Context, holder string) error {
	for _, m := range n.view().Members {
		_, err := ibisrpc.Call[ibiswire.SettleReply](ctx, n.pool, m.Digest.Row.Address, ibiswire.MethodSettle, &ibiswire.SettleRequest{Dead: holder})
		if err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(ibisallot.DropAll(ctx, n.table, n.inc.Fence(), holder))
}

// allClaimed reports whether each backend server that may run tasks has been claimed by a live daemon:
// then no incarnation that is over can start or renew anything, and all tasks have been counted.
func (n *node) allClaimed(ctx context.Context) bool {
	covered := make(map[string]bool)
	for _, m := range n.view().Members {
		reply, err := ibisrpc.Call[ibiswire.ServersReply](ctx, n.pool, m.Digest.Row.Address, ibiswire.MethodServers, &ibiswire.ServersRequest{})
		if err != nil {
			return false
		}
		for _, s := range reply.Servers {
			covered[s.Name] = covered[s.Name] || s.State != ibiswire.Silent
		}
	}
	vms := n.vms.list()
	for _, vm := range vms {
		if vm.State != ibisserver.Gone && !covered[vm.Name] {
			return false
		}
	}
	return len(vms) > 0
}

// clear deletes the journal and the rows of an incarnation that is over and holds no allotments, once no
// shard needs them.
func (n *node) clear(ctx context.Context, dead string) error {
	rows, err := ibisshard.List(ctx, n.table, n.settings.Shards)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, r := range rows {
		if r.Holder == dead || slices.Contains(r.Sources, dead) {
			return nil
		}
	}
	if err := ibisjournal.Drop(ctx, n.table, dead); err != nil {
		return Error.Wrap(err)
	}
	if _, err := n.table.Commit(ctx, n.inc.Fence(), ibistable.Delete(ibispeer.BeatKey(dead), ibistable.Any)); err != nil {
		return Error.Wrap(err)
	}
	if err := ibisincarnation.Delete(ctx, n.table, dead); err != nil {
		return Error.Wrap(err)
	}
	log.WithField("incarnation", dead).Info("IncarnationCleared")
	return nil
}

// settle moves from a dead incarnation's allotments what is counted here beyond the own ones.
func (n *node) settle(ctx context.Context, req *ibiswire.SettleRequest) (*ibiswire.SettleReply, error) {
	if err := n.ledger.MoveFrom(ctx, req.Dead); err != nil {
		return nil, Error.Wrap(err)
	}
	return &ibiswire.SettleReply{}, nil
}
