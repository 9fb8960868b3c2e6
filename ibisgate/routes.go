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
	from, err := g.authenticate(r)
	if err != nil {
		return refuse(err, "")
	}
	wait, waitGiven, err := waitOf(r)
	if err != nil {
		return refuse(err, "")
	}
	b, err := g.readBody(w, r)
	if err != nil {
		return refuse(err, "")
	}
	req, err := decodeRequest(b)
	if err != nil {
		return refuse(err, "")
	}
	team, err := from.teamOf(req)
	if err != nil {
		return refuse(err, req.ID)
	}
	req, err = g.complete(req, team)
	if err != nil {
		return refuse(err, req.ID)
	}
	if !waitGiven {
		wait = g.defaultWait(req)
	}
	return g.pass(r, req, min(wait, g.maxWait))
}

// pass hands a checked request to the scheduler and waits for what comes of it.
func (g *Gate) pass(r *http.Request, req ibiswork.Request, wait time.Duration) reply {
	parent := r.Context()
	if req.Durable() {
		var release func()
		parent, release = outlive(parent, answerGrace)
		defer release()
	}
	waiting, release, cut := withEnd(parent, g.flow.submissions)
	defer release()
	ctx, cancel := context.WithTimeout(waiting, wait+answerGrace)
	defer cancel()
	st, err := g.scheduler.Submit(ctx, req, wait)
	if cut() && (err != nil || st.Stage != ibiswork.Ended) {
		st, err = g.cutShort(parent, req)
	}
	if err != nil {
		return refuse(unknownOnTimeout(err), req.ID)
	}
	if st.ID != req.ID {
		return refuse(mismatch(st.ID), req.ID)
	}
	return progress(st)
}

// cutShort is what can be said of a submission that waited for too long while draining. Work that may not
// have been recorded yet can end with a daemon's memory of it, so its caller submits it again.
func (g *Gate) cutShort(parent context.Context, req ibiswork.Request) (ibiswork.Status, error) {
	ctx, cancel := context.WithTimeout(parent, finalStatusTimeout)
	defer cancel()
	st, err := g.scheduler.Status(ctx, req.Team, req.ID, 0)
	recorded := req.Class.Durable() || (req.Durable() && st.Stage == ibiswork.Running)
	if err == nil && (recorded || st.Stage == ibiswork.Ended) {
		return st, nil
	}
	return st, ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is shutting down").WithMaybeRun().WithRetryAfter(drainingRetry)
}

// status serves GET /v1/requests/{id}.
func (g *Gate) status(_ http.ResponseWriter, r *http.Request) reply {
	wait, _, err := waitOf(r)
	if err != nil {
		return refuse(err, "")
	}
	wait = min(wait, MaxPollWait)
	st, a := g.question(r, func(team string, id ibiswork.ID) (ibiswork.Status, error) {
		polling, release, cut := withEnd(r.Context(), g.flow.polls)
		defer release()
		ctx, cancel := context.WithTimeout(polling, wait+answerGrace)
		defer cancel()
		st, err := g.scheduler.Status(ctx, team, id, wait)
		if err != nil && cut() {
			ctx, cancel := context.WithTimeout(r.Context(), finalStatusTimeout)
			defer cancel()
			return g.scheduler.Status(ctx, team, id, 0)
		}
		return st, err
	})
	if a != nil {
		return *a
	}
	return reply{status: http.StatusOK, body: st, label: string(st.Stage)}
}

// cancel serves DELETE /v1/requests/{id}. It is carried through when the caller goes away.
func (g *Gate) cancel(_ http.ResponseWriter, r *http.Request) reply {
	st, a := g.question(r, func(team string, id ibiswork.ID) (ibiswork.Status, error) {
		ctx, release := outlive(r.Context(), answerGrace)
		defer release()
		ctx, cancel := context.WithTimeout(ctx, answerGrace)
		defer cancel()
		return g.scheduler.Cancel(ctx, team, id)
	})
	if a != nil {
		return *a
	}
	return progress(st)
}

// question asks about the request that the path names, as each team that the caller may ask for, until
// one knows it. It returns the status, or the answer that says why there is none.
func (g *Gate) question(r *http.Request, ask func(team string, id ibiswork.ID) (ibiswork.Status, error)) (ibiswork.Status, *reply) {
	id := ibiswork.ID(mux.Vars(r)["id"])
	fail := func(err error, id ibiswork.ID) (ibiswork.Status, *reply) {
		a := refuse(unknownOnTimeout(err), id)
		return ibiswork.Status{}, &a
	}
	if err := id.Check(); err != nil {
		return fail(ibiswork.Refuse(ibiswork.CodeBadRequest, "ID: %v", err), "")
	}
	from, err := g.authenticate(r)
	if err != nil {
		return fail(err, id)
	}
	err = ibiswork.Refuse(ibiswork.CodeUnauthorized, "there is neither a key nor an open queue")
	for _, team := range from.teams() {
		var st ibiswork.Status
		if st, err = ask(team, id); err == nil {
			if st.ID != id {
				return fail(mismatch(st.ID), id)
			}
			return st, nil
		}
		if ibiswork.AsRefusal(err).Code != ibiswork.CodeNotFound {
			break
		}
	}
	return fail(err, id)
}

// caller is who sent a request, by the configuration at that moment.
type caller struct {
	team  string // empty without a key
	keyed bool
	snap  *ibisconfig.Snapshot
}

// authenticate finds the team of the caller's key.
func (g *Gate) authenticate(r *http.Request) (caller, error) {
	key, err := keyOf(r)
	if err != nil {
		return caller{}, err
	}
	from := caller{keyed: key != ""}
	if err := g.admission.Accept(from.keyed); err != nil {
		return caller{}, err
	}
	if from.snap = g.config.Snapshot(); from.snap == nil {
		return caller{}, ibiswork.Refuse(ibiswork.CodeRecovering, "this daemon has no configuration yet")
	}
	if !from.keyed {
		return from, nil
	}
	team, ok := from.snap.Authenticate(key)
	if !ok {
		return caller{}, ibiswork.Refuse(ibiswork.CodeUnauthorized, "the key is not in force")
	}
	from.team = team
	return from, nil
}

// teamOf is the team for which a request is scheduled: that of the key, or the open queue, which is a team
// of its own. Work that came with neither, or with both, is refused.
func (c caller) teamOf(req ibiswork.Request) (string, error) {
	if c.keyed {
		if req.Queue != "" {
			return "", ibiswork.Refuse(ibiswork.CodeBadRequest, "Queue: an open queue takes work without a key only")
		}
		return c.team, nil
	}
	if req.Queue == "" {
		return "", ibiswork.Refuse(ibiswork.CodeUnauthorized, "there is neither a key nor an open queue")
	}
	if !c.snap.Teams[req.Queue].Queue {
		return "", ibiswork.Refuse(ibiswork.CodeUnauthorized, "Queue: %q is not an open queue", req.Queue)
	}
	return req.Queue, nil
}

// teams lists the teams whose requests the caller may ask about: that of the key, or every open queue.
func (c caller) teams() []string {
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

// defaultWait is how long a submission waits when its caller does not say.
func (g *Gate) defaultWait(req ibiswork.Request) time.Duration {
	if req.Class != ibiswork.Interactive {
		return 0
	}
	if req.DeadlineMS == 0 {
		return g.maxWait
	}
	return time.Duration(req.DeadlineMS) * time.Millisecond
}

// progress answers 200 with the end of a request, or 202 and where to ask for it.
func progress(st ibiswork.Status) reply {
	a := reply{status: http.StatusOK, body: st, label: string(st.Stage)}
	if st.Stage != ibiswork.Ended {
		a.status = http.StatusAccepted
		a.location = "/v1/requests/" + string(st.ID)
	}
	return a
}

// outlive is parent's context that ends only grace after parent has ended.
func outlive(parent context.Context, grace time.Duration) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() { time.AfterFunc(grace, cancel) })
	return ctx, func() {
		stop()
		cancel()
	}
}

// unknownOnTimeout turns the end of a context into a refusal that promises nothing.
func unknownOnTimeout(err error) error {
	_, refused := errors.AsType[*ibiswork.Refusal](err)
	if !refused && (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)) {
		r := &ibiswork.Refusal{Code: ibiswork.CodeOutcomeUnknown, Message: "no word of the request in time"}
		return r.WithRetryAfter(unknownRetry)
	}
	return err
}

// mismatch refuses to hand the answer of one request to the caller of another.
func mismatch(got ibiswork.ID) error {
	return Error.New("the answer is that of request %q", string(got))
}
