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
		return ChangeReply{}, ibiswork.Refuse(ibiswork.CodeBadRequest, "Team: missing, or its Name differs from the team %q in the path", mux.Vars(r)["team"])
	}
	t := *req.Team
	t.Keys = nil // keys are issued and withdrawn only by their own requests, one at a time
	return a.apply(r, op, req, func(c *ibisconfig.Change) { c.PutTeam = &t })
}

func (a *Admin) deleteTeam(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	team := mux.Vars(r)["team"]
	return a.apply(r, op, req, func(c *ibisconfig.Change) { c.DeleteTeam = team })
}

// resolveKey returns the key to issue and its hash. The key is generated here, unless the client generated
// it and sent only its hash; then key is empty. A client that generates the key itself may repeat the
// request after a lost reply and still has the key. A key generated here cannot be shown a second time, so
// such a repeat is refused with Conflict.
func resolveKey(req ChangeRequest) (key string, h ibisconfig.KeyHash) {
	if req.Hash != "" {
		return "", req.Hash
	}
	key = ibisconfig.NewKey()
	return key, ibisconfig.HashKey(key)
}

func (a *Admin) issueKey(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	team := mux.Vars(r)["team"]
	key, h := resolveKey(req)
	reply, err := a.apply(r, op, req, func(c *ibisconfig.Change) {
		c.AddKey = &ibisconfig.AddKey{Team: team, Key: ibisconfig.Key{Name: req.KeyName, Hash: h}}
	})
	return withIssuedKey(reply, key, req, err)
}

// withIssuedKey adds a newly generated key to the reply, or refuses the repeat of a request whose key cannot
// be shown again.
func withIssuedKey(reply ChangeReply, key string, req ChangeRequest, err error) (ChangeReply, error) {
	if ibisconfig.Reused.Has(err) && req.Hash == "" {
		return reply, ibiswork.Refuse(ibiswork.CodeConflict,
			"the change %s was made before and its key cannot be shown again; withdraw that key and issue another", req.ID)
	}
	reply.Key = key
	return reply, err
}

// withdrawKey first denies the key at all daemons, then removes it from the table. Either step suffices to
// confirm the withdrawal, because daemons apply a change of the table within seconds. BasedOn is ignored: a
// withdrawal by name is valid whatever else changed in the team.
func (a *Admin) withdrawKey(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	team, name := mux.Vars(r)["team"], mux.Vars(r)["key"]
	k, exists := a.Config.Snapshot().Teams[team].Key(name)
	denied := exists && a.deny(r, k.Hash)
	c := ibisconfig.Change{ID: req.ID, Operator: op.Name, OperatorKey: op.Key, BasedOn: ibisconfig.NoCondition, At: a.Now().UTC()}
	c.WithdrawKey = &ibisconfig.WithdrawKey{Team: team, Name: name}
	res, err := a.Config.Apply(r.Context(), c)
	if denied && (ibisconfig.Unavailable.Has(err) || ibisconfig.Unknown.Has(err)) {
		c.OperatorKey = "" // already in force, so it must be written even if the operator's own key is withdrawn meanwhile
		a.Config.DeferWithdrawal(k.Hash, c)
		return ChangeReply{Pending: true}, nil
	}
	return ChangeReply{Result: res}, err
}

// deny makes all daemons deny a key and reports whether the denial is in force.
func (a *Admin) deny(r *http.Request, h ibisconfig.KeyHash) bool {
	if err := a.Withdrawer.Withdraw(r.Context(), h); err != nil {
		log.WithFields(log.Fields{"error": err}).Warn("WithdrawalNotSpread")
		return false
	}
	return true
}

// putOperator creates an operator or replaces its key. The key's name defaults to that of the operator.
func (a *Admin) putOperator(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	name := mux.Vars(r)["operator"]
	key, h := resolveKey(req)
	keyName := req.KeyName
	if keyName == "" {
		keyName = name
	}
	reply, err := a.apply(r, op, req, func(c *ibisconfig.Change) {
		c.PutOperator = &ibisconfig.PutOperator{Name: name, Key: ibisconfig.Key{Name: keyName, Hash: h}}
	})
	return withIssuedKey(reply, key, req, err)
}

// deleteOperator removes an operator and has all daemons deny its key at once.
func (a *Admin) deleteOperator(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	name := mux.Vars(r)["operator"]
	k, exists := a.Config.Snapshot().Operators[name]
	reply, err := a.apply(r, op, req, func(c *ibisconfig.Change) { c.DeleteOperator = name })
	if err == nil && exists {
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
