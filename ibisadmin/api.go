package ibisadmin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

// Bounds on requests of operators.
const (
	maxBodyBytes      = 64 << 10
	defaultAuditLimit = 50
	maxAuditLimit     = 500
)

// ConfigView is the configuration without hashes.
type ConfigView struct {
	Version   int64                      `json:"Version"`
	Teams     map[string]ibisconfig.Team `json:"Teams"`
	Operators []string                   `json:"Operators"`
	SetAside  map[string]string          `json:"SetAside"`
	Versions  map[string]int64           `json:"Versions"`
	Denied    int                        `json:"Denied"` // number of withdrawn keys in the deny set
}

// ChangeRequest is the body of every change. Which fields are used depends on the path. ID is chosen
// by the client; a repeat with the same ID never takes effect twice.
type ChangeRequest struct {
	ID      string             `json:"ID"`
	BasedOn int64              `json:"BasedOn"` // version of the item that was seen, 0 for none, -1 for any
	Team    *ibisconfig.Team   `json:"Team,omitempty"`
	KeyName string             `json:"KeyName,omitempty"`
	Hash    ibisconfig.KeyHash `json:"Hash,omitempty"` // of a key that the client made; empty: the daemon makes one
	Reason  string             `json:"Reason,omitempty"`
}

// ChangeReply is the answer to an accepted change. Key is there once, in the reply to the request that
// issued it, when the daemon made it.
type ChangeReply struct {
	ibisconfig.Result
	Key       string `json:"Key,omitempty"`
	Pending   bool   `json:"Pending,omitempty"` // in force everywhere, written down when the store is back
	Cancelled int    `json:"Cancelled,omitempty"`
}

// operator is who makes a request.
type operator struct {
	Name string
	Key  ibisconfig.KeyHash
}

// handler answers one request of an operator.
type handler func(r *http.Request, op operator) (any, error)

func (a *Admin) registerAPI(r *mux.Router) {
	r.HandleFunc("/config", a.api(a.getConfig)).Methods(http.MethodGet)
	r.HandleFunc("/audit", a.api(a.getAudit)).Methods(http.MethodGet)
	r.HandleFunc("/overview", a.api(a.getOverview)).Methods(http.MethodGet)
	r.HandleFunc("/burn", a.api(a.getBurn)).Methods(http.MethodGet)
	r.HandleFunc("/teams/{team}", a.api(a.getTeam)).Methods(http.MethodGet)
	r.HandleFunc("/teams/{team}", a.api(a.change(a.putTeam))).Methods(http.MethodPut)
	r.HandleFunc("/teams/{team}", a.api(a.change(a.deleteTeam))).Methods(http.MethodDelete)
	r.HandleFunc("/teams/{team}/keys", a.api(a.change(a.issueKey))).Methods(http.MethodPost)
	r.HandleFunc("/teams/{team}/keys/{key}", a.api(a.change(a.withdrawKey))).Methods(http.MethodDelete)
	r.HandleFunc("/teams/{team}/cancel", a.api(a.change(a.cancelQueue))).Methods(http.MethodPost)
	r.HandleFunc("/operators/{operator}", a.api(a.change(a.putOperator))).Methods(http.MethodPut)
	r.HandleFunc("/operators/{operator}", a.api(a.change(a.deleteOperator))).Methods(http.MethodDelete)
	r.HandleFunc("/servers/{server}/aside", a.api(a.change(a.setAside))).Methods(http.MethodPost)
	r.HandleFunc("/servers/{server}/return", a.api(a.change(a.returnServer))).Methods(http.MethodPost)
}

// api authenticates the operator and encodes the answer.
func (a *Admin) api(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, ok := a.Config.Snapshot().Operator(key)
		if !bearer || !ok {
			w.Header().Set("WWW-Authenticate", `Bearer realm="ibiscrank operators"`)
			writeRefusal(w, &Refusal{Refusal: *ibiswork.Refuse(ibiswork.CodeUnauthorized, "the operator key is missing or not in force")})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		v, err := h(r, operator{Name: name, Key: ibisconfig.HashKey(key)})
		if err != nil {
			refusal := refusalOf(err)
			log.WithFields(log.Fields{"operator": name, "method": r.Method, "path": r.URL.Path, "code": refusal.Code}).Warn("OperatorRefused")
			writeRefusal(w, refusal)
			return
		}
		writeJSON(w, http.StatusOK, v)
	}
}

// changer makes one change for the operator.
type changer func(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error)

// change decodes the body of a change.
func (a *Admin) change(do changer) handler {
	return func(r *http.Request, op operator) (any, error) {
		var req ChangeRequest
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&req); err != nil {
			if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
				return nil, ibiswork.Refuse(ibiswork.CodeTooLarge, "the body is longer than %d bytes", maxBodyBytes)
			}
			return nil, ibiswork.Refuse(ibiswork.CodeBadRequest, "body: %v", err)
		}
		reply, err := do(r, op, req)
		if err != nil {
			return nil, err
		}
		log.WithFields(log.Fields{"operator": op.Name, "method": r.Method, "path": r.URL.Path, "version": reply.Version}).Info("OperatorChange")
		return reply, nil
	}
}

func (a *Admin) getConfig(*http.Request, operator) (any, error) {
	snap := a.Config.Snapshot()
	v := ConfigView{Version: snap.Version, Teams: make(map[string]ibisconfig.Team), SetAside: snap.SetAside, Versions: snap.Versions, Denied: len(snap.Denied)}
	for name, t := range snap.Teams {
		v.Teams[name] = t.WithoutHashes()
	}
	for name := range snap.Operators {
		v.Operators = append(v.Operators, name)
	}
	return v, nil
}

func (a *Admin) getTeam(r *http.Request, _ operator) (any, error) {
	t, ok := a.Config.Snapshot().Teams[mux.Vars(r)["team"]]
	if !ok {
		return nil, ibiswork.Refuse(ibiswork.CodeNotFound, "there is no team %s", mux.Vars(r)["team"])
	}
	return t.WithoutHashes(), nil
}

func (a *Admin) getAudit(r *http.Request, _ operator) (any, error) {
	limit := defaultAuditLimit
	if s := r.URL.Query().Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxAuditLimit {
			return nil, ibiswork.Refuse(ibiswork.CodeBadRequest, "limit: not a number from 1 to %d", maxAuditLimit)
		}
		limit = n
	}
	return a.Config.Audit(r.Context(), limit)
}

func (a *Admin) getOverview(r *http.Request, _ operator) (any, error) {
	v := a.view(r.Context())
	if v.FleetErr != "" {
		return nil, ibiswork.Refuse(ibiswork.CodeUnreachable, "overview: %s", v.FleetErr)
	}
	return v.Overview, nil
}

func (a *Admin) getBurn(r *http.Request, _ operator) (any, error) {
	return a.burn(r.Context(), a.Config.Snapshot()), nil
}

func (a *Admin) apply(r *http.Request, op operator, req ChangeRequest, set func(*ibisconfig.Change)) (ChangeReply, error) {
	c := ibisconfig.Change{ID: req.ID, Operator: op.Name, By: op.Key, BasedOn: req.BasedOn, At: a.Now().UTC()}
	set(&c)
	res, err := a.Config.Apply(r.Context(), c)
	return ChangeReply{Result: res}, err
}
