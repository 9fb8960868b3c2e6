package ibisadmin

import (
	"crypto/hmac"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

// action is an operation that an operator runs from the page after confirming it.
type action struct {
	Title    string
	Question string   // shown before confirmation; %s is replaced by the values of Fields, joined with " / "
	Effect   string   // consequence, shown before confirmation
	Fields   []string // form fields that identify the subject
	Reason   bool     // whether the form asks for a reason
	Counts   bool     // whether the reply holds the number of cancelled requests
	do       func(a *Admin, r *http.Request, op operator, req ChangeRequest, fields map[string]string) (ChangeReply, error)
}

var actions = map[string]action{
	"aside": {
		Title: "Set aside", Question: "Set the backend server %s aside?",
		Effect: "It gets no new work within seconds. Its running tasks continue.",
		Fields: []string{"server"}, Reason: true,
		do: func(a *Admin, r *http.Request, op operator, req ChangeRequest, f map[string]string) (ChangeReply, error) {
			return a.setAside(mux.SetURLVars(r, f), op, req)
		},
	},
	"return": {
		Title: "Return", Question: "Return the backend server %s?",
		Effect: "It gets new work again.",
		Fields: []string{"server"},
		do: func(a *Admin, r *http.Request, op operator, req ChangeRequest, f map[string]string) (ChangeReply, error) {
			return a.returnServer(mux.SetURLVars(r, f), op, req)
		},
	},
	"withdraw": {
		Title: "Withdraw key", Question: "Withdraw the key %s?",
		Effect: "It stops working everywhere within seconds and cannot be brought back.",
		Fields: []string{"team", "key"},
		do: func(a *Admin, r *http.Request, op operator, req ChangeRequest, f map[string]string) (ChangeReply, error) {
			return a.withdrawKey(mux.SetURLVars(r, f), op, req)
		},
	},
	"evacuate": {
		Title: "Evacuate", Question: "Evacuate the failure domain %s?",
		Effect: "Nothing more is started on its backend servers within seconds, until the evacuation is withdrawn. Running tasks continue.",
		Fields: []string{"domain"},
		do: func(a *Admin, r *http.Request, op operator, req ChangeRequest, f map[string]string) (ChangeReply, error) {
			return a.evacuate(mux.SetURLVars(r, f), op, req)
		},
	},
	"withdraw-evacuation": {
		Title: "Withdraw evacuation", Question: "Withdraw the evacuation of the failure domain %s?",
		Effect: "Its backend servers get new work again.",
		Fields: []string{"domain"},
		do: func(a *Admin, r *http.Request, op operator, req ChangeRequest, f map[string]string) (ChangeReply, error) {
			return a.withdrawEvacuation(mux.SetURLVars(r, f), op, req)
		},
	},
	"cancel": {
		Title: "Cancel queue", Question: "Cancel everything that the team %s has waiting?",
		Effect: "Waiting requests end as Cancelled. Running tasks continue.",
		Fields: []string{"team"}, Counts: true,
		do: func(a *Admin, r *http.Request, op operator, req ChangeRequest, f map[string]string) (ChangeReply, error) {
			return a.cancelQueue(mux.SetURLVars(r, f), op, req)
		},
	},
}

// confirmBody is the body of the confirmation page. ID is the ID of the change, so that a form that is
// submitted twice takes effect once.
type confirmBody struct {
	action
	Name     string
	Question string
	Values   map[string]string
	ID       string
	BasedOn  int64
}

// confirm renders the confirmation page of an action.
func (a *Admin) confirm(w http.ResponseWriter, r *http.Request, p page) {
	act, fields, err := parseAction(mux.Vars(r)["action"], r.URL.Query().Get)
	if err != nil {
		a.renderError(w, r, p, err)
		return
	}
	var subject []string
	for _, name := range act.Fields {
		subject = append(subject, fields[name])
	}
	p.Title = act.Title
	p.Body = confirmBody{
		action: act, Name: mux.Vars(r)["action"], Values: fields,
		Question: fmt.Sprintf(act.Question, strings.Join(subject, " / ")),
		ID:       uuid.Must(uuid.NewV7()).String(),
		BasedOn:  a.seenVersion(fields),
	}
	a.render(w, http.StatusOK, "confirm.html", p)
}

// seenVersion returns the version of the row of the backend server or failure domain that the operator sees when
// confirming. A later change of the row makes the action stale. Other subjects have no condition.
func (a *Admin) seenVersion(fields map[string]string) int64 {
	if server, ok := fields["server"]; ok {
		return a.Config.Snapshot().ServerVersion(server)
	}
	if domain, ok := fields["domain"]; ok {
		return a.Config.Snapshot().EvacuationVersion(domain)
	}
	return ibisconfig.NoCondition
}

// parseAction returns the action of that name and the values of its form fields, none of which may be empty.
func parseAction(name string, get func(string) string) (action, map[string]string, error) {
	act, ok := actions[name]
	if !ok {
		return act, nil, ibiswork.Refuse(ibiswork.CodeNotFound, "there is no action %s", name)
	}
	fields := make(map[string]string)
	for _, f := range act.Fields {
		if fields[f] = get(f); fields[f] == "" {
			return act, nil, ibiswork.Refuse(ibiswork.CodeBadRequest, "%s is missing", f)
		}
	}
	return act, fields, nil
}

// runAction runs an action that was confirmed. The route has already checked that the request is same-origin.
func (a *Admin) runAction(w http.ResponseWriter, r *http.Request, p page) {
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	if !hmac.Equal([]byte(r.PostFormValue("token")), []byte(p.Token)) {
		a.renderError(w, r, p, ibiswork.Refuse(ibiswork.CodeForbidden, "the form is not from this session"))
		return
	}
	name := mux.Vars(r)["action"]
	act, fields, err := parseAction(name, r.PostFormValue)
	if err != nil {
		a.renderError(w, r, p, err)
		return
	}
	basedOn, err := strconv.ParseInt(r.PostFormValue("basedOn"), 10, 64)
	if err != nil {
		a.renderError(w, r, p, ibiswork.Refuse(ibiswork.CodeBadRequest, "basedOn: %q is not a whole number", r.PostFormValue("basedOn")))
		return
	}
	req := ChangeRequest{ID: r.PostFormValue("id"), BasedOn: basedOn, Reason: r.PostFormValue("reason")}
	reply, err := act.do(a, r, operator{Name: p.Operator, Key: p.key}, req, fields)
	if err != nil {
		a.renderError(w, r, p, err)
		return
	}
	p.Title, p.Body = "Done", outcome{OK: true, Message: doneMessage(act, reply)}
	a.render(w, http.StatusOK, "outcome.html", p)
}

// doneMessage describes the result of an action to the operator.
func doneMessage(act action, reply ChangeReply) string {
	switch {
	case act.Counts:
		return fmt.Sprintf("%d requests were cancelled.", reply.Cancelled)
	case reply.Pending:
		return "It is in force everywhere and is written down when the table service is back."
	case reply.Warning != "":
		return fmt.Sprintf("It is version %d of the configuration and in force at %d of %d daemons. Warning: %s.", reply.Version, reply.InForce, reply.Daemons, reply.Warning)
	case reply.Daemons > 0 && !reply.Repeated:
		return fmt.Sprintf("It is version %d of the configuration and in force at %d of %d daemons.", reply.Version, reply.InForce, reply.Daemons)
	case reply.Repeated:
		return fmt.Sprintf("It was done before, in version %d.", reply.Version)
	}
	return fmt.Sprintf("It is version %d of the configuration and in force everywhere within seconds.", reply.Version)
}
