package ibisadmin

import (
	"net/http"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

func (a *Admin) putTeam(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	if req.Team == nil || req.Team.Name != mux.Vars(r)["team"] {
		return ChangeReply{}, ibiswork.Refuse(ibiswork.CodeBadRequest, "Team: missing, or its Name is not the one in the path")
	}
	t := *req.Team
	t.Keys = nil // keys are only changed one at a time
	return a.apply(r, op, req, func(c *ibisconfig.Change) { c.PutTeam = &t })
}

func (a *Admin) deleteTeam(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	team := mux.Vars(r)["team"]
	return a.apply(r, op, req, func(c *ibisconfig.Change) { c.DeleteTeam = team })
}

// keyFor is the key of a request that issues one: made here, unless the client made it and sent only
// its hash. A client that makes the key itself may repeat the request after a lost reply and has the
// key; a key made here cannot be shown a second time, so the repeat is refused with Conflict.
func keyFor(req ChangeRequest) (key string, h ibisconfig.KeyHash) {
	if req.Hash != "" {
		return "", req.Hash
	}
	key = ibisconfig.NewKey()
	return key, ibisconfig.HashKey(key)
}

func (a *Admin) issueKey(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	team := mux.Vars(r)["team"]
	key, h := keyFor(req)
	reply, err := a.apply(r, op, req, func(c *ibisconfig.Change) {
		c.AddKey = &ibisconfig.AddKey{Team: team, Key: ibisconfig.Key{Name: req.KeyName, Hash: h}}
	})
	return issued(reply, key, req, err)
}

// issued adds the key to the reply.
func issued(reply ChangeReply, key string, req ChangeRequest, err error) (ChangeReply, error) {
	if ibisconfig.Reused.Has(err) && req.Hash == "" {
		return reply, ibiswork.Refuse(ibiswork.CodeConflict,
			"the change %s was made before and its key cannot be shown again; withdraw that key and issue another", req.ID)
	}
	reply.Key = key
	return reply, err
}

// withdrawKey first denies the key at all daemons, then removes it from the table. Either one suffices
// for the answer, because a change in the table is in force everywhere within seconds. BasedOn is not
// used: a withdrawal by name is right whatever else changed in the team.
func (a *Admin) withdrawKey(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	team, name := mux.Vars(r)["team"], mux.Vars(r)["key"]
	k, known := a.Config.Snapshot().Teams[team].Key(name)
	denied := known && a.deny(r, k.Hash)
	c := ibisconfig.Change{ID: req.ID, Operator: op.Name, By: op.Key, BasedOn: ibisconfig.NoCondition, At: a.Now().UTC()}
	c.WithdrawKey = &ibisconfig.WithdrawKey{Team: team, Name: name}
	res, err := a.Config.Apply(r.Context(), c)
	if denied && (ibisconfig.Unavailable.Has(err) || ibisconfig.Unknown.Has(err)) {
		c.By = "" // it is in force, whatever becomes of the operator
		a.Config.ApplyLater(k.Hash, c)
		return ChangeReply{Pending: true}, nil
	}
	return ChangeReply{Result: res}, err
}

func (a *Admin) deny(r *http.Request, h ibisconfig.KeyHash) bool {
	if err := a.Withdrawer.Withdraw(r.Context(), h); err != nil {
		log.WithFields(log.Fields{"error": err}).Warn("WithdrawalNotSpread")
		return false
	}
	return true
}

func (a *Admin) putOperator(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	name := mux.Vars(r)["operator"]
	key, h := keyFor(req)
	keyName := req.KeyName
	if keyName == "" {
		keyName = name
	}
	reply, err := a.apply(r, op, req, func(c *ibisconfig.Change) {
		c.PutOperator = &ibisconfig.PutOperator{Name: name, Key: ibisconfig.Key{Name: keyName, Hash: h}}
	})
	return issued(reply, key, req, err)
}

func (a *Admin) deleteOperator(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	name := mux.Vars(r)["operator"]
	k, known := a.Config.Snapshot().Operators[name]
	reply, err := a.apply(r, op, req, func(c *ibisconfig.Change) { c.DeleteOperator = name })
	if err == nil && known {
		a.deny(r, k.Hash)
	}
	return reply, err
}

func (a *Admin) setAside(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	server := mux.Vars(r)["server"]
	return a.apply(r, op, req, func(c *ibisconfig.Change) {
		c.SetAside = &ibisconfig.SetAside{Server: server, Reason: req.Reason}
	})
}

func (a *Admin) returnServer(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	server := mux.Vars(r)["server"]
	return a.apply(r, op, req, func(c *ibisconfig.Change) { c.Return = &ibisconfig.Return{Server: server} })
}

func (a *Admin) cancelQueue(r *http.Request, op operator, _ ChangeRequest) (ChangeReply, error) {
	team := mux.Vars(r)["team"]
	if _, ok := a.Config.Snapshot().Teams[team]; !ok {
		return ChangeReply{}, ibiswork.Refuse(ibiswork.CodeNotFound, "there is no team %s", team)
	}
	n, err := a.Queues.CancelQueue(r.Context(), team)
	log.WithFields(log.Fields{"operator": op.Name, "team": team, "cancelled": n}).Info("QueueCancelled")
	return ChangeReply{Cancelled: n}, err
}
