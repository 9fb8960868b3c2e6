package ibisgate

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ibiscrank/ibislimit"
	"ibiscrank/ibiswork"
)

const bearerPrefix = "Bearer "

// wireRequest is a request as callers send it. It has none of the methods of Request, so that a request
// without an ID can be decoded first and validated later.
type wireRequest ibiswork.Request

// readRequest reads and decodes the body of a request, and refuses one above the size limit, or one for which there is no
// memory now.
func (g *Gate) readRequest(w http.ResponseWriter, r *http.Request) (ibiswork.Request, error) {
	b, release, err := g.bodies.ReadBody(r.Body, int(r.ContentLength), int(g.maxBodyBytes))
	defer release()
	switch {
	case errors.Is(err, ibislimit.ErrTooLarge):
		w.Header().Set("Connection", "close")
		return ibiswork.Request{}, ibiswork.Refuse(ibiswork.CodeTooLarge, "the body is longer than %d bytes", g.maxBodyBytes)
	case errors.Is(err, ibislimit.ErrNoMemory):
		w.Header().Set("Connection", "close")
		return ibiswork.Request{}, ibiswork.Refuse(ibiswork.CodeOverloaded, "the bodies of other requests take all memory for them").WithRetryAfter(overloadedRetryAfter)
	case err != nil:
		return ibiswork.Request{}, ibiswork.Refuse(ibiswork.CodeBadRequest, "the body could not be read: %v", err)
	}
	return decodeRequest(b)
}

// decodeRequest decodes one request without validating it; unknown fields and trailing values are errors.
func decodeRequest(b []byte) (ibiswork.Request, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	var req wireRequest
	if err := dec.Decode(&req); err != nil {
		return ibiswork.Request{}, ibiswork.Refuse(ibiswork.CodeBadRequest, "the body is not a valid request: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return ibiswork.Request{}, ibiswork.Refuse(ibiswork.CodeBadRequest, "the body has more than one JSON value")
	}
	return ibiswork.Request(req), nil
}

// normalize sets the team and, if absent, the ID, and validates the request.
func (g *Gate) normalize(req ibiswork.Request, team string) (ibiswork.Request, error) {
	if req.ID == "" {
		req.ID = g.newID()
	} else if err := g.checkIDAge(req.ID); err != nil {
		return req, err
	}
	if req.Team != "" && req.Team != team {
		return req, ibiswork.Refuse(ibiswork.CodeForbidden, "Team: the key does not belong to the team %q", req.Team)
	}
	req.Team = team
	if err := req.Check(); err != nil {
		return req, ibiswork.Refuse(ibiswork.CodeBadRequest, "%v", err)
	}
	return req, nil
}

// checkIDAge refuses an ID that is too old for duplicate detection or too far in the future. NotRun is false
// because an earlier submission with the same ID may have been accepted.
func (g *Gate) checkIDAge(id ibiswork.ID) error {
	if err := id.Check(); err != nil {
		return ibiswork.Refuse(ibiswork.CodeBadRequest, "ID: %v", err)
	}
	age := g.now().Sub(id.Time())
	if age > g.duplicateWindow {
		return ibiswork.Refuse(ibiswork.CodeExpiredID, "the ID is older than %v", g.duplicateWindow).WithMaybeRun()
	}
	if age < -maxClockSkew {
		return ibiswork.Refuse(ibiswork.CodeExpiredID, "the time in the ID is more than %v in the future", maxClockSkew).WithMaybeRun()
	}
	return nil
}

// bearerKey returns the key in the Authorization header, or "" without that header.
func bearerKey(r *http.Request) (string, error) {
	h := r.Header.Get("Authorization")
	if h == "" {
		return "", nil
	}
	if len(h) <= len(bearerPrefix) || !strings.EqualFold(h[:len(bearerPrefix)], bearerPrefix) {
		return "", ibiswork.Refuse(ibiswork.CodeUnauthorized, "Authorization is not of the form Bearer KEY")
	}
	return strings.TrimSpace(h[len(bearerPrefix):]), nil
}

// requestedWait returns how long the caller wants to wait: WaitMS (milliseconds) or Wait (a duration) in the
// query, or wait=SECONDS in the Prefer header.
func requestedWait(r *http.Request) (wait time.Duration, given bool, err error) {
	q, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return 0, false, ibiswork.Refuse(ibiswork.CodeBadRequest, "the query is not valid: %v", err)
	}
	switch {
	case q.Has("WaitMS"):
		wait, err = parseWait("WaitMS", q.Get("WaitMS"), time.Millisecond)
		return wait, true, err
	case q.Has("Wait"):
		wait, err = time.ParseDuration(q.Get("Wait"))
		if err != nil || wait < 0 {
			return 0, true, ibiswork.Refuse(ibiswork.CodeBadRequest, "Wait: %q is not a duration such as 1500ms", q.Get("Wait"))
		}
		return wait, true, nil
	}
	for _, p := range strings.Split(strings.Join(r.Header.Values("Prefer"), ","), ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(p), "="); ok && strings.EqualFold(name, "wait") {
			wait, err = parseWait("Prefer: wait", value, time.Second)
			return wait, true, err
		}
	}
	return 0, false, nil
}

// parseWait parses a whole number of units, from zero to one day.
func parseWait(name, s string, unit time.Duration) (time.Duration, error) {
	const maxDuration = 24 * time.Hour
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > int64(maxDuration/unit) {
		return 0, ibiswork.Refuse(ibiswork.CodeBadRequest, "%s: %q is not a whole number from 0 to %d (unit: %v)", name, s, int64(maxDuration/unit), unit)
	}
	return time.Duration(n) * unit, nil
}
