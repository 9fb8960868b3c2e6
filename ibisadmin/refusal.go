package ibisadmin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisgate"
	"ibiscrank/ibiswork"
)

// storeRetryAfter is the retry delay given to clients while the table service is unavailable.
const storeRetryAfter = 2 * time.Second

// Refusal is the answer to an operator request that was refused. For a stale change, Stale holds the current
// state of the item and its last change.
type Refusal struct {
	ibiswork.Refusal
	Stale *ibisconfig.StaleError `json:"Stale,omitempty"`
}

// Unwrap returns the embedded refusal, so that errors.As finds it.
func (r *Refusal) Unwrap() error { return &r.Refusal }

// refusalOf converts an error, for example of the configuration store, into a refusal.
func refusalOf(err error) *Refusal {
	if r, ok := errors.AsType[*ibiswork.Refusal](err); ok {
		return &Refusal{Refusal: *r}
	}
	refuse := func(code ibiswork.Code) *Refusal { return &Refusal{Refusal: *ibiswork.Refuse(code, "%v", err)} }
	switch {
	case ibisconfig.Stale.Has(err):
		r := refuse(ibiswork.CodeStale)
		r.Stale, _ = errors.AsType[*ibisconfig.StaleError](err)
		return r
	case ibisconfig.Invalid.Has(err):
		return refuse(ibiswork.CodeBadRequest)
	case ibisconfig.Unauthorized.Has(err):
		return refuse(ibiswork.CodeUnauthorized)
	case ibisconfig.Reused.Has(err):
		return refuse(ibiswork.CodeConflict)
	case ibisconfig.NotFound.Has(err):
		return refuse(ibiswork.CodeNotFound)
	case ibisconfig.Unknown.Has(err):
		r := refuse(ibiswork.CodeOutcomeUnknown)
		return &Refusal{Refusal: *r.WithMaybeRun().WithRetryAfter(storeRetryAfter)}
	case ibisconfig.Unavailable.Has(err):
		r := refuse(ibiswork.CodeStoreUnavailable)
		return &Refusal{Refusal: *r.WithRetryAfter(storeRetryAfter)}
	}
	return &Refusal{Refusal: *ibiswork.AsRefusal(err)}
}

func (r *Refusal) status() int { return ibisgate.HTTPStatus(r.Code) }

func writeRefusal(w http.ResponseWriter, r *Refusal) {
	if r.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((r.RetryAfterMS+999)/1000, 10))
	}
	writeJSON(w, r.status(), r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
