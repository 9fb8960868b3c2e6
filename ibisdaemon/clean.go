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

// cleanUp removes what ended and revoked incarnations have left behind: first their allotments (parts of the
// teams' upper limits), once the present owners of their tasks have counted those tasks, then their journals
// and rows. Only the daemon with the lowest ID runs it; concurrent runs by two daemons do no harm.
func (n *node) cleanUp(ctx context.Context) {
	ids := n.view().IDs()
	if len(ids) == 0 || ids[0] != n.inc.ID() || n.lifecycle.State() != serving {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*tableTimeout)
	defer cancel()
	holders, err := ibisallot.Holders(ctx, n.table)
	if err != nil {
		return
	}
	rows, err := ibisincarnation.List(ctx, n.table)
	if err != nil {
		return
	}
	var dead []string
	live := make(map[string]bool)
	for _, r := range rows {
		if live[r.ID] = r.State == ibisincarnation.Live; !live[r.ID] {
			dead = append(dead, r.ID)
		}
	}
	holders = slices.DeleteFunc(holders, func(id string) bool { return live[id] })
	if len(dead)+len(holders) == 0 || !n.allServersCovered(ctx) {
		return
	}
	for _, id := range holders {
		if err := n.freeAllotments(ctx, id); err != nil {
			log.WithFields(log.Fields{"holder": id, "error": err}).Debug("AllotmentsNotFreed")
			return
		}
	}
	for _, id := range dead {
		if err := n.deleteIncarnation(ctx, id); err != nil {
			log.WithFields(log.Fields{"incarnation": id, "error": err}).Debug("IncarnationNotCleared")
		}
	}
}

// freeAllotments lets every daemon take over the part of the holder's allotments that its own tasks use, then
// frees the rest. The holder is a dead incarnation, or another one that ibisallot.Holders returns.
func (n *node) freeAllotments(ctx context.Context, holder string) error {
	for _, m := range n.view().Members {
		_, err := ibisrpc.Call[ibiswire.SettleReply](ctx, n.pool, m.Digest.Row.Address, ibiswire.MethodSettle, &ibiswire.SettleRequest{Dead: holder})
		if err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(ibisallot.DropAll(ctx, n.table, n.inc.Fence(), holder))
}

// allServersCovered reports whether, for each backend server that may run tasks, a live daemon has claimed it
// or knows that all leases on it have expired. Then no dead incarnation can start a task or renew a lease,
// and every task has been counted. It is false while no VM is known.
func (n *node) allServersCovered(ctx context.Context) bool {
	covered := make(map[string]bool)
	for _, m := range n.view().Members {
		reply, err := ibisrpc.Call[ibiswire.ServersReply](ctx, n.pool, m.Digest.Row.Address, ibiswire.MethodServers, &ibiswire.ServersRequest{})
		if err != nil {
			return false
		}
		for _, s := range reply.Servers {
			covered[s.Name] = covered[s.Name] || s.State != ibiswire.Uncertain
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

// deleteIncarnation deletes the journal and the rows of a dead incarnation that holds no allotments. It does
// nothing while a shard is still held by that incarnation or has to be recovered from its journal.
func (n *node) deleteIncarnation(ctx context.Context, dead string) error {
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
	if _, err := n.table.Commit(ctx, n.inc.Fence(), ibistable.Delete(ibispeer.TableHeartbeatKey(dead), ibistable.Any)); err != nil {
		return Error.Wrap(err)
	}
	if err := ibisincarnation.Delete(ctx, n.table, dead); err != nil {
		return Error.Wrap(err)
	}
	log.WithField("incarnation", dead).Info("IncarnationCleared")
	return nil
}

// settle takes over allotments of req.Dead, as far as the tasks of this daemon use more than its own
// allotments.
func (n *node) settle(ctx context.Context, req *ibiswire.SettleRequest) (*ibiswire.SettleReply, error) {
	if err := n.ledger.MoveFrom(ctx, req.Dead); err != nil {
		return nil, Error.Wrap(err)
	}
	return &ibiswire.SettleReply{}, nil
}
