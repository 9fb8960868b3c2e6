package ibisclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibishttp"
	"ibiscrank/ibiswork"
)

// AdminError is the class of errors of an Admin that are not refusals.
var AdminError = errs.Class("admin client")

// Limits of an Admin.
const (
	adminAttempts       = 6
	adminAttemptTimeout = 15 * time.Second
	adminRetryInterval  = 200 * time.Millisecond
	maxAdminReplyBytes  = 32 << 20
)

// Admin reads and changes the configuration with an operator's key. A change is retried under the same ID,
// each time at the next daemon, so it takes effect at most once. Its methods return refusals as
// *ibisadmin.Refusal and all other errors in the class AdminError.
//
// The methods that change something take the ID of the change; an empty one is generated.
type Admin struct {
	daemons []string
	key     string
	client  *http.Client
}

// NewAdmin returns an Admin for the daemons, each given as an address or a URL.
func NewAdmin(daemons []string, key string) *Admin {
	a := &Admin{key: key, client: &http.Client{Transport: NewTransport(), Timeout: adminAttemptTimeout}}
	for _, d := range daemons {
		if !strings.Contains(d, "://") {
			d = "http://" + d
		}
		a.daemons = append(a.daemons, strings.TrimRight(d, "/"))
	}
	return a
}

// Config returns the configuration without the hashes of keys.
func (a *Admin) Config(ctx context.Context) (v ibisadmin.ConfigView, err error) {
	err = a.do(ctx, http.MethodGet, "/config", nil, &v)
	return v, err
}

// Audit returns the newest accepted changes, at most limit of them.
func (a *Admin) Audit(ctx context.Context, limit int) (list []ibisconfig.AuditEntry, err error) {
	err = a.do(ctx, http.MethodGet, "/audit?limit="+strconv.Itoa(limit), nil, &list)
	return list, err
}

// Overview returns the state of the daemons, the table service, the backend servers and the teams, with the
// alerts.
func (a *Admin) Overview(ctx context.Context) (o ibisadmin.Overview, err error) {
	err = a.do(ctx, http.MethodGet, "/overview", nil, &o)
	return o, err
}

// Burn returns the report on the burn rate of the service-level objectives.
func (a *Admin) Burn(ctx context.Context) (r ibisburn.Report, err error) {
	err = a.do(ctx, http.MethodGet, "/burn", nil, &r)
	return r, err
}

// Team returns one team without the hashes of its keys.
func (a *Admin) Team(ctx context.Context, name string) (t ibisconfig.Team, err error) {
	err = a.do(ctx, http.MethodGet, "/teams/"+url.PathEscape(name), nil, &t)
	return t, err
}

// PutTeam creates or updates a team if its version is still basedOn, which is zero for a new team.
func (a *Admin) PutTeam(ctx context.Context, id string, basedOn int64, t ibisconfig.Team) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodPut, "/teams/"+url.PathEscape(t.Name), ibisadmin.ChangeRequest{ID: id, BasedOn: basedOn, Team: &t})
}

// DeleteTeam deletes a team if its version is still basedOn.
func (a *Admin) DeleteTeam(ctx context.Context, id string, basedOn int64, name string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodDelete, "/teams/"+url.PathEscape(name), ibisadmin.ChangeRequest{ID: id, BasedOn: basedOn})
}

// IssueKey generates a key for a team. The key is generated here and only its hash is sent, so that a lost
// reply doesn't lose the key. It is returned with an error too, because a change with an unknown outcome may
// have activated it.
func (a *Admin) IssueKey(ctx context.Context, id, team, name string) (key string, reply ibisadmin.ChangeReply, err error) {
	key = ibisconfig.NewKey()
	reply, err = a.change(ctx, http.MethodPost, "/teams/"+url.PathEscape(team)+"/keys",
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition, KeyName: name, Hash: ibisconfig.HashKey(key)})
	return key, reply, err
}

// WithdrawKey withdraws a key of a team.
func (a *Admin) WithdrawKey(ctx context.Context, id, team, name string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodDelete, "/teams/"+url.PathEscape(team)+"/keys/"+url.PathEscape(name),
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition})
}

// PutOperator generates a key for an operator, who is created or whose previous key is replaced. The key is
// returned with an error too, because a change with an unknown outcome may have activated it.
func (a *Admin) PutOperator(ctx context.Context, id, name string) (key string, reply ibisadmin.ChangeReply, err error) {
	key = ibisconfig.NewKey()
	reply, err = a.change(ctx, http.MethodPut, "/operators/"+url.PathEscape(name),
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition, Hash: ibisconfig.HashKey(key)})
	return key, reply, err
}

// DeleteOperator deletes an operator and the operator's key.
func (a *Admin) DeleteOperator(ctx context.Context, id, name string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodDelete, "/operators/"+url.PathEscape(name),
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition})
}

// SetAside excludes a backend server from new work until Return is called.
func (a *Admin) SetAside(ctx context.Context, id, server, reason string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodPost, "/servers/"+url.PathEscape(server)+"/aside",
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition, Reason: reason})
}

// Return lets a backend server that was set aside get new work again.
func (a *Admin) Return(ctx context.Context, id, server string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodPost, "/servers/"+url.PathEscape(server)+"/return",
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition})
}

// Evacuations returns the state of every failure domain that has backend servers or is evacuated.
func (a *Admin) Evacuations(ctx context.Context) (list []ibisadmin.DomainState, err error) {
	err = a.do(ctx, http.MethodGet, "/evacuations", nil, &list)
	return list, err
}

// Evacuate keeps new work from the backend servers of a failure domain until WithdrawEvacuation is called.
func (a *Admin) Evacuate(ctx context.Context, id, domain string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodPut, "/evacuations/"+url.PathEscape(domain), ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition})
}

// WithdrawEvacuation ends the evacuation of a failure domain.
func (a *Admin) WithdrawEvacuation(ctx context.Context, id, domain string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodDelete, "/evacuations/"+url.PathEscape(domain), ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition})
}

// CancelQueue cancels all queued requests of a team.
func (a *Admin) CancelQueue(ctx context.Context, id, team string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodPost, "/teams/"+url.PathEscape(team)+"/cancel", ibisadmin.ChangeRequest{ID: id})
}

// change sends a change. When the outcome stays unknown, the refusal names the ID under which to retry it.
func (a *Admin) change(ctx context.Context, method, path string, req ibisadmin.ChangeRequest) (reply ibisadmin.ChangeReply, err error) {
	if req.ID == "" {
		req.ID = uuid.Must(uuid.NewV7()).String()
	}
	err = a.do(ctx, method, path, req, &reply)
	if refusal, ok := errors.AsType[*ibisadmin.Refusal](err); ok && refusal.Code == ibiswork.CodeOutcomeUnknown {
		refusal.Message = fmt.Sprintf("%s; repeat it as change %s", refusal.Message, req.ID)
	}
	return reply, err
}

// do sends a request until it gets a final answer or has made adminAttempts attempts.
func (a *Admin) do(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return AdminError.Wrap(err)
		}
		body = b
	}
	if len(a.daemons) == 0 {
		return AdminError.New("no daemon address is given")
	}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = adminRetryInterval
	maybeApplied := false
	for n := 0; ; n++ {
		retry, err := a.attempt(ctx, method, a.daemons[n%len(a.daemons)]+"/v1/admin"+path, body, out)
		if err == nil {
			return nil
		}
		refusal := ibiswork.AsRefusal(err)
		switch {
		case !retry && maybeApplied && refusal.Code == ibiswork.CodeUnauthorized:
			return outcomeUnknown(err) // an earlier attempt may have replaced the key that authenticates this one
		case !retry:
			return err
		}
		maybeApplied = maybeApplied || !refusal.NotRun
		if n+1 < adminAttempts && sleep(ctx, retryBackoff.NextBackOff()) == nil {
			continue
		}
		if maybeApplied {
			return outcomeUnknown(err)
		}
		return err
	}
}

// attempt makes one attempt and reports whether a retry may succeed.
func (a *Admin) attempt(ctx context.Context, method, url string, body []byte, out any) (retry bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false, AdminError.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("Content-Type", "application/json")
	resp, sent, err := ibishttp.Do(a.client, req)
	if err != nil && !sent {
		return true, &ibisadmin.Refusal{Refusal: *ibiswork.Refuse(ibiswork.CodeUnreachable, "%v", err)}
	}
	if err != nil {
		return true, outcomeUnknown(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminReplyBytes))
	if err != nil {
		return true, outcomeUnknown(err)
	}
	if resp.StatusCode == http.StatusOK {
		return false, AdminError.Wrap(json.Unmarshal(b, out))
	}
	refusal := new(ibisadmin.Refusal)
	if json.Unmarshal(b, refusal) != nil || refusal.Code == "" {
		return resp.StatusCode >= http.StatusInternalServerError, outcomeUnknown(AdminError.New("HTTP status %d without a refusal code", resp.StatusCode))
	}
	return adminRetryable(refusal.Code), refusal
}

// adminRetryable reports whether the reason of a refusal may go away by itself or not apply at another daemon.
func adminRetryable(c ibiswork.Code) bool {
	switch c {
	case ibiswork.CodeStoreUnavailable, ibiswork.CodeOutcomeUnknown, ibiswork.CodeUnreachable, ibiswork.CodeDraining:
		return true
	}
	return false
}

// outcomeUnknown returns a refusal without the NotRun guarantee, because the daemon may have acted before the
// reply was lost.
func outcomeUnknown(err error) error {
	return &ibisadmin.Refusal{Refusal: ibiswork.Refusal{Code: ibiswork.CodeOutcomeUnknown, Message: err.Error()}}
}
