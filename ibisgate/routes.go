package ibisgate

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

// submit serves POST /v1/requests.
func (g *Gate) submit(w http.ResponseWriter, r *http.Request) reply {
	c, err := g.authenticate(r)
	if err != nil {
		return refusalReply(err, "")
	}
	wait, waitGiven, err := requestedWait(r)
	if err != nil {
		return refusalReply(err, "")
	}
	req, err := g.readRequest(w, r)
	if err != nil {
		return refusalReply(err, "")
	}
	team, err := c.teamFor(req)
	if err != nil {
		return refusalReply(err, req.ID)
	}
	req, err = g.normalize(req, team)
	if err != nil {
		return refusalReply(err, req.ID)
	}
	if !waitGiven {
		wait = g.defaultWait(req)
	}
	return g.submitAndWait(r, req, min(wait, g.maxWait))
}

// submitAndWait submits a validated request to the scheduler and waits for its outcome.
func (g *Gate) submitAndWait(r *http.Request, req ibiswork.Request, wait time.Duration) reply {
	parent := r.Context()
	if req.Durable() {
		var release func()
		parent, release = withGrace(parent, answerGrace)
		defer release()
	}
	waiting, release, drained := withDrainCancel(parent, g.limiter.submissions)
	defer release()
	ctx, cancel := context.WithTimeout(waiting, wait+answerGrace)
	defer cancel()
	st, err := g.scheduler.Submit(ctx, req, wait)
	if drained() && (err != nil || st.Stage != ibiswork.Ended) {
		st, err = g.statusOnDrain(parent, req)
	}
	if err != nil {
		return refusalReply(unknownOnTimeout(err), req.ID)
	}
	if st.ID != req.ID {
		return refusalReply(mismatchedID(st.ID), req.ID)
	}
	return statusReply(st)
}

// statusOnDrain returns the current status of a submission whose wait was interrupted by draining, if the work
// has ended or is certainly recorded. Other work may be lost when the daemon that holds it in memory stops; it
// is refused as Draining, so that its caller submits it again.
func (g *Gate) statusOnDrain(parent context.Context, req ibiswork.Request) (ibiswork.Status, error) {
	ctx, cancel := context.WithTimeout(parent, finalStatusTimeout)
	defer cancel()
	st, err := g.scheduler.Status(ctx, req.Team, req.ID, 0)
	recorded := req.Class.Durable() || (req.Durable() && st.Stage == ibiswork.Running)
	if err == nil && (recorded || st.Stage == ibiswork.Ended) {
		return st, nil
	}
	return st, ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is shutting down").WithMaybeRun().WithRetryAfter(drainingRetryAfter)
}

// status serves GET /v1/requests/{id}.
func (g *Gate) status(_ http.ResponseWriter, r *http.Request) reply {
	wait, _, err := requestedWait(r)
	if err != nil {
		return refusalReply(err, "")
	}
	wait = min(wait, MaxPollWait)
	st, failure := g.tryTeams(r, func(team string, id ibiswork.ID) (ibiswork.Status, error) {
		polling, release, drained := withDrainCancel(r.Context(), g.limiter.polls)
		defer release()
		ctx, cancel := context.WithTimeout(polling, wait+answerGrace)
		defer cancel()
		st, err := g.scheduler.Status(ctx, team, id, wait)
		if err != nil && drained() {
			ctx, cancel := context.WithTimeout(r.Context(), finalStatusTimeout)
			defer cancel()
			return g.scheduler.Status(ctx, team, id, 0)
		}
		return st, err
	})
	if failure != nil {
		return *failure
	}
	return reply{status: http.StatusOK, body: st, label: string(st.Stage)}
}

// cancel serves DELETE /v1/requests/{id}. It continues when the caller disconnects.
func (g *Gate) cancel(_ http.ResponseWriter, r *http.Request) reply {
	st, failure := g.tryTeams(r, func(team string, id ibiswork.ID) (ibiswork.Status, error) {
		ctx, release := withGrace(r.Context(), answerGrace)
		defer release()
		ctx, cancel := context.WithTimeout(ctx, answerGrace)
		defer cancel()
		return g.scheduler.Cancel(ctx, team, id)
	})
	if failure != nil {
		return *failure
	}
	return statusReply(st)
}

// tryTeams runs op on the request named in the path, for each team that the caller has access to, until one
// of them has that request. It returns the status, or the reply that refuses the request.
func (g *Gate) tryTeams(r *http.Request, op func(team string, id ibiswork.ID) (ibiswork.Status, error)) (ibiswork.Status, *reply) {
	id := ibiswork.ID(mux.Vars(r)["id"])
	fail := func(err error, id ibiswork.ID) (ibiswork.Status, *reply) {
		rep := refusalReply(unknownOnTimeout(err), id)
		return ibiswork.Status{}, &rep
	}
	if err := id.Check(); err != nil {
		return fail(ibiswork.Refuse(ibiswork.CodeBadRequest, "ID: %v", err), "")
	}
	c, err := g.authenticate(r)
	if err != nil {
		return fail(err, id)
	}
	err = ibiswork.Refuse(ibiswork.CodeUnauthorized, "the request has no key, and there is no open queue")
	for _, team := range c.visibleTeams() {
		var st ibiswork.Status
		if st, err = op(team, id); err == nil {
			if st.ID != id {
				return fail(mismatchedID(st.ID), id)
			}
			return st, nil
		}
		if ibiswork.AsRefusal(err).Code != ibiswork.CodeNotFound {
			break
		}
	}
	return fail(err, id)
}

// caller identifies the sender of an HTTP request under one snapshot of the configuration.
type caller struct {
	team  string // empty without a key
	keyed bool   // presented a key
	snap  *ibisconfig.Snapshot
}

// authenticate checks admission and resolves the caller's key to its team.
func (g *Gate) authenticate(r *http.Request) (caller, error) {
	key, err := bearerKey(r)
	if err != nil {
		return caller{}, err
	}
	c := caller{keyed: key != ""}
	if err := g.admission.Accept(c.keyed); err != nil {
		return caller{}, err
	}
	if c.snap = g.config.Snapshot(); c.snap == nil {
		return caller{}, ibiswork.Refuse(ibiswork.CodeRecovering, "this daemon has no configuration yet")
	}
	if !c.keyed {
		return c, nil
	}
	team, ok := c.snap.Authenticate(key)
	if !ok {
		return caller{}, ibiswork.Refuse(ibiswork.CodeUnauthorized, "the key is not in force")
	}
	c.team = team
	return c, nil
}

// teamFor returns the team that a submission is accounted to: the team of the key, or the open queue, which is
// a team of its own. A submission with both or with neither is refused.
func (c caller) teamFor(req ibiswork.Request) (string, error) {
	if c.keyed {
		if req.Queue != "" {
			return "", ibiswork.Refuse(ibiswork.CodeBadRequest, "Queue: an open queue takes only requests without a key")
		}
		return c.team, nil
	}
	if req.Queue == "" {
		return "", ibiswork.Refuse(ibiswork.CodeUnauthorized, "the request has neither a key nor an open queue in Queue")
	}
	if !c.snap.Teams[req.Queue].Queue {
		return "", ibiswork.Refuse(ibiswork.CodeUnauthorized, "Queue: %q is not an open queue", req.Queue)
	}
	return req.Queue, nil
}

// visibleTeams lists the teams whose requests the caller may query and cancel: the team of the key, or without
// a key all open queues.
func (c caller) visibleTeams() []string {
	if c.keyed {
		return []string{c.team}
	}
	var open []string
	for name, t := range c.snap.Teams {
		if t.Queue {
			open = append(open, name)
		}
	}
	slices.Sort(open)
	return open
}

// defaultWait returns how long a submission waits if the caller sets no wait.
func (g *Gate) defaultWait(req ibiswork.Request) time.Duration {
	if req.Class != ibiswork.Interactive {
		return 0
	}
	if req.DeadlineMS == 0 {
		return g.maxWait
	}
	return time.Duration(req.DeadlineMS) * time.Millisecond
}

// statusReply returns 200 with the status of an ended request, or else 202 with the location to poll.
func statusReply(st ibiswork.Status) reply {
	rep := reply{status: http.StatusOK, body: st, label: string(st.Stage)}
	if st.Stage != ibiswork.Ended {
		rep.status = http.StatusAccepted
		rep.location = "/v1/requests/" + string(st.ID)
	}
	return rep
}

// withGrace returns a context with the values of parent that ends only after grace has passed since the end
// of parent, or on release.
func withGrace(parent context.Context, grace time.Duration) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() { time.AfterFunc(grace, cancel) })
	return ctx, func() {
		stop()
		cancel()
	}
}

// unknownOnTimeout turns a context error into an OutcomeUnknown refusal with NotRun false.
func unknownOnTimeout(err error) error {
	_, refused := errors.AsType[*ibiswork.Refusal](err)
	if !refused && (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)) {
		r := &ibiswork.Refusal{Code: ibiswork.CodeOutcomeUnknown, Message: "the status of the request did not arrive in time"}
		return r.WithRetryAfter(unknownOutcomeRetryAfter)
	}
	return err
}

// mismatchedID is the error for a status that belongs to another request than the caller's.
func mismatchedID(got ibiswork.ID) error {
	return Error.New("the scheduler returned the status of another request, %q", string(got))
}
