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

// Bounds of an Admin.
const (
	adminAttempts      = 6
	adminTryTimeout    = 15 * time.Second
	adminRetryInterval = 200 * time.Millisecond
	maxAdminReplyBytes = 32 << 20
)

// Admin changes and reads the configuration with an operator's key. A change is repeated under the
// same ID, at another daemon each time, so it takes effect once. Refusals are *ibisadmin.Refusal.
type Admin struct {
	daemons []string
	key     string
	client  *http.Client
}

// NewAdmin makes an Admin of the daemons, each an address or a URL.
func NewAdmin(daemons []string, key string) *Admin {
	a := &Admin{key: key, client: &http.Client{Transport: NewTransport(), Timeout: adminTryTimeout}}
	for _, d := range daemons {
		if !strings.Contains(d, "://") {
			d = "http://" + d
		}
		a.daemons = append(a.daemons, strings.TrimRight(d, "/"))
	}
	return a
}

// Config is the configuration without hashes.
func (a *Admin) Config(ctx context.Context) (v ibisadmin.ConfigView, err error) {
	err = a.do(ctx, http.MethodGet, "/config", nil, &v)
	return v, err
}

// Audit is the newest accepted changes.
func (a *Admin) Audit(ctx context.Context, limit int) (list []ibisconfig.AuditEntry, err error) {
	err = a.do(ctx, http.MethodGet, "/audit?limit="+strconv.Itoa(limit), nil, &list)
	return list, err
}

// Overview is the state of the fleet.
func (a *Admin) Overview(ctx context.Context) (o ibisadmin.Overview, err error) {
	err = a.do(ctx, http.MethodGet, "/overview", nil, &o)
	return o, err
}

// Burn is the report on service-level burn.
func (a *Admin) Burn(ctx context.Context) (r ibisburn.Report, err error) {
	err = a.do(ctx, http.MethodGet, "/burn", nil, &r)
	return r, err
}

// Team is one team without the hashes of its keys.
func (a *Admin) Team(ctx context.Context, name string) (t ibisconfig.Team, err error) {
	err = a.do(ctx, http.MethodGet, "/teams/"+url.PathEscape(name), nil, &t)
	return t, err
}

// PutTeam creates or changes a team, if its version is still basedOn. An empty id is chosen.
func (a *Admin) PutTeam(ctx context.Context, id string, basedOn int64, t ibisconfig.Team) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodPut, "/teams/"+url.PathEscape(t.Name), ibisadmin.ChangeRequest{ID: id, BasedOn: basedOn, Team: &t})
}

// DeleteTeam deletes a team, if its version is still basedOn.
func (a *Admin) DeleteTeam(ctx context.Context, id string, basedOn int64, name string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodDelete, "/teams/"+url.PathEscape(name), ibisadmin.ChangeRequest{ID: id, BasedOn: basedOn})
}

// IssueKey makes a key for a team. Only its hash is sent, so that a lost reply does not lose the key;
// it is returned beside an error too, because a change with an unknown outcome may have put it in force.
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

// PutOperator makes a key for an operator, who is created or whose former key is replaced. The key is
// returned beside an error too, because a change with an unknown outcome may have put it in force.
func (a *Admin) PutOperator(ctx context.Context, id, name string) (key string, reply ibisadmin.ChangeReply, err error) {
	key = ibisconfig.NewKey()
	reply, err = a.change(ctx, http.MethodPut, "/operators/"+url.PathEscape(name),
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition, Hash: ibisconfig.HashKey(key)})
	return key, reply, err
}

// DeleteOperator removes an operator and the operator's key.
func (a *Admin) DeleteOperator(ctx context.Context, id, name string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodDelete, "/operators/"+url.PathEscape(name),
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition})
}

// SetAside keeps a backend server from new work.
func (a *Admin) SetAside(ctx context.Context, id, server, reason string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodPost, "/servers/"+url.PathEscape(server)+"/aside",
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition, Reason: reason})
}

// Return gives a backend server new work again.
func (a *Admin) Return(ctx context.Context, id, server string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodPost, "/servers/"+url.PathEscape(server)+"/return",
		ibisadmin.ChangeRequest{ID: id, BasedOn: ibisconfig.NoCondition})
}

// CancelQueue cancels everything that a team has waiting.
func (a *Admin) CancelQueue(ctx context.Context, id, team string) (ibisadmin.ChangeReply, error) {
	return a.change(ctx, http.MethodPost, "/teams/"+url.PathEscape(team)+"/cancel", ibisadmin.ChangeRequest{ID: id})
}

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

// do makes a request until a daemon gives an answer that another attempt would not better.
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
		return AdminError.New("no daemon is named")
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = adminRetryInterval
	maybeDone := false
	for n := 0; ; n++ {
		again, err := a.try(ctx, method, a.daemons[n%len(a.daemons)]+"/v1/admin"+path, body, out)
		if err == nil {
			return nil
		}
		refusal := ibiswork.AsRefusal(err)
		switch {
		case !again && maybeDone && refusal.Code == ibiswork.CodeUnauthorized:
			return unknown(err) // an earlier attempt may have replaced the key that it was made with
		case !again:
			return err
		}
		maybeDone = maybeDone || !refusal.NotRun
		if n+1 < adminAttempts && sleep(ctx, wait.NextBackOff()) == nil {
			continue
		}
		if maybeDone {
			return unknown(err)
		}
		return err
	}
}

// try makes one attempt and says whether another may go better.
func (a *Admin) try(ctx context.Context, method, url string, body []byte, out any) (again bool, err error) {
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
		return true, unknown(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminReplyBytes))
	if err != nil {
		return true, unknown(err)
	}
	if resp.StatusCode == http.StatusOK {
		return false, AdminError.Wrap(json.Unmarshal(b, out))
	}
	refusal := new(ibisadmin.Refusal)
	if json.Unmarshal(b, refusal) != nil || refusal.Code == "" {
		return resp.StatusCode >= http.StatusInternalServerError, unknown(AdminError.New("status %d", resp.StatusCode))
	}
	return passes(refusal.Code), refusal
}

// passes says whether a refusal of operators' requests may pass by itself or at another daemon.
func passes(c ibiswork.Code) bool {
	return c == ibiswork.CodeStoreUnavailable || c == ibiswork.CodeOutcomeUnknown || c == ibiswork.CodeUnreachable
}

// unknown is a refusal that promises nothing, because the daemon may have acted before the reply was lost.
func unknown(err error) error {
	return &ibisadmin.Refusal{Refusal: ibiswork.Refusal{Code: ibiswork.CodeOutcomeUnknown, Message: err.Error()}}
}
