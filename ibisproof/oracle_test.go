package ibisproof

import (
	"fmt"
	"slices"
	"time"

	"ibiscrank/ibisharness"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// Bounds that the brief states.
const (
	// keyBound is when a withdrawn key is refused everywhere.
	keyBound = 5 * time.Second
	// leavingBound is when a leaving backend server gets no new work.
	leavingBound = 5 * time.Second
	// limitBound is when a changed upper limit is in force everywhere.
	limitBound = 5 * time.Second
)

// task names one task of a request, whatever its attempts.
type task struct {
	request ibiswork.ID
	index   int
}

func taskOf(e ibisstandin.Entry) task { return task{e.TaskID.Request, e.TaskID.Index} }

// limit is an upper limit of a team from a moment on.
type limit struct {
	from  time.Time
	upper ibiswork.Resources
}

// byTime orders the merged record of all servers by the wall clock; of entries at one moment the ends
// come first.
func sortByTime(history []ibisstandin.Entry) []ibisstandin.Entry {
	sorted := slices.Clone(history)
	slices.SortStableFunc(sorted, func(a, b ibisstandin.Entry) int {
		if a.WallNS != b.WallNS {
			return int(min(max(a.WallNS-b.WallNS, -1), 1))
		}
		return eventOrder(a.Event) - eventOrder(b.Event)
	})
	return sorted
}

func eventOrder(e ibisstandin.Event) int {
	if e == ibisstandin.End {
		return 0
	}
	return 1
}

// overcommitted finds the starts that took a server above its capacity, in the server's own order.
func overcommitted(history []ibisstandin.Entry, capacity ibiswork.Resources) []string {
	var violations []string
	used := map[string]ibiswork.Resources{}
	for _, e := range history {
		if e.Event == ibisstandin.End {
			used[e.Server] = used[e.Server].Sub(e.Resources)
			continue
		}
		used[e.Server] = used[e.Server].Add(e.Resources)
		if !used[e.Server].FitsIn(capacity) {
			violations = append(violations, fmt.Sprintf("%s: start of %v takes it to %+v of %+v", e.Server, e.TaskID, used[e.Server], capacity))
		}
	}
	return violations
}

// inTwoPlaces finds the starts of a task that was still running somewhere.
func runningTwice(history []ibisstandin.Entry) []string {
	var violations []string
	running := map[task]ibisstandin.Entry{}
	for _, e := range sortByTime(history) {
		earlier, ok := running[taskOf(e)]
		switch {
		case e.Event == ibisstandin.Start && ok:
			violations = append(violations, fmt.Sprintf("%v started on %s while attempt %d runs on %s", e.TaskID, e.Server, earlier.TaskID.Attempt, earlier.Server))
		case e.Event == ibisstandin.Start:
			running[taskOf(e)] = e
		case ok && earlier.TaskID == e.TaskID && earlier.Server == e.Server:
			delete(running, taskOf(e))
		}
	}
	return violations
}

// startedTwice finds tasks of non-idempotent requests that were started more than once.
func startedTwice(history []ibisstandin.Entry, subs []ibisharness.Submission) []string {
	idempotent := map[ibiswork.ID]bool{}
	for _, s := range subs {
		idempotent[s.Request.ID] = s.Request.Idempotent
	}
	var violations []string
	first := map[task]ibisstandin.Entry{}
	for _, e := range sortByTime(history) {
		if isIdempotent, known := idempotent[e.TaskID.Request]; e.Event != ibisstandin.Start || !known || isIdempotent {
			continue
		}
		if f, ok := first[taskOf(e)]; ok {
			violations = append(violations, fmt.Sprintf("non-idempotent %v started on %s after attempt %d on %s", e.TaskID, e.Server, f.TaskID.Attempt, f.Server))
			continue
		}
		first[taskOf(e)] = e
	}
	return violations
}

// notEnded finds requests that were accepted and have no end. That the outcome is unknown is an end for
// non-idempotent requests only.
func unfinished(subs []ibisharness.Submission, final map[ibiswork.ID]ibiswork.Status, unknown map[ibiswork.ID]ibiswork.Refusal) []string {
	var violations []string
	seen := map[ibiswork.ID]bool{}
	for _, s := range subs {
		id := s.Request.ID
		if !s.Accepted() || seen[id] {
			continue
		}
		seen[id] = true
		if _, ok := unknown[id]; ok && !s.Request.Idempotent {
			continue
		}
		if end, ok := final[id]; !ok || end.Stage != ibiswork.Ended || end.Answer == nil {
			violations = append(violations, fmt.Sprintf("%s was accepted by daemon %d and has no end: %+v", id, s.Daemon, end))
		}
	}
	return violations
}

// untruths finds requests that were started although every submission up to that start was answered
// with the promise that it is not run.
func falseNotRun(history []ibisstandin.Entry, subs []ibisharness.Submission) []string {
	type promise struct {
		refused bool
		until   int64 // wall clock of the first submission without the promise; zero when there is none
	}
	ordered := slices.Clone(subs)
	slices.SortStableFunc(ordered, func(a, b ibisharness.Submission) int { return a.Sent.Compare(b.Sent) })
	promises := map[ibiswork.ID]promise{}
	for _, s := range ordered {
		p := promises[s.Request.ID]
		if p.until != 0 {
			continue
		}
		p.refused = p.refused || s.NotRun()
		if !s.NotRun() {
			p.until = s.Sent.UnixNano()
		}
		promises[s.Request.ID] = p
	}
	var violations []string
	for _, e := range history {
		p := promises[e.TaskID.Request]
		if e.Event == ibisstandin.Start && p.refused && (p.until == 0 || e.WallNS < p.until) {
			violations = append(violations, fmt.Sprintf("%v started on %s although its caller was told that it is not run", e.TaskID, e.Server))
		}
	}
	return violations
}

// aboveLimit finds starts that took a team above every upper limit that was in force shortly before.
func aboveLimit(history []ibisstandin.Entry, team string, limits []limit) []string {
	var violations []string
	var used ibiswork.Resources
	for _, e := range sortByTime(history) {
		if e.Team != team {
			continue
		}
		if e.Event == ibisstandin.End {
			used = used.Sub(e.Resources)
			continue
		}
		used = used.Add(e.Resources)
		if upper := limitInForce(limits, time.Unix(0, e.WallNS)); !used.FitsIn(upper) {
			violations = append(violations, fmt.Sprintf("start of %v on %s takes team %s to %+v of %+v", e.TaskID, e.Server, team, used, upper))
		}
	}
	return violations
}

// inForce is the largest of the limits that were in force within limitBound before at.
func limitInForce(limits []limit, t time.Time) ibiswork.Resources {
	var upper ibiswork.Resources
	for i, l := range limits {
		replaced := i+1 < len(limits) && limits[i+1].from.Add(limitBound).Before(t)
		if !l.from.After(t) && !replaced {
			upper = upper.Max(l.upper)
		}
	}
	return upper
}

// notOwnAnswers finds answers that are not the whole answer to their own request.
func wrongAnswers(subs []ibisharness.Submission, final map[ibiswork.ID]ibiswork.Status) []string {
	var violations []string
	for _, s := range subs {
		if s.Status != nil && s.Status.ID != s.Request.ID {
			violations = append(violations, fmt.Sprintf("%s got the answer to %s", s.Request.ID, s.Status.ID))
		}
		statuses := []*ibiswork.Status{s.Status}
		if end, ok := final[s.Request.ID]; ok {
			statuses = append(statuses, &end)
		}
		for _, st := range statuses {
			if err := checkAnswer(s.Request, st); err != nil {
				violations = append(violations, err.Error())
			}
		}
	}
	return violations
}

// checkAnswer checks the result of a request with one task that is done.
func checkAnswer(r ibiswork.Request, st *ibiswork.Status) error {
	if st == nil || st.Answer == nil {
		return nil
	}
	if st.Answer.ID != r.ID {
		return fmt.Errorf("%s got the answer to %s", r.ID, st.Answer.ID)
	}
	if st.Answer.Outcome != ibiswork.Done || r.TaskCount() > 1 {
		return nil
	}
	_, err := ibisstandin.CheckResult(st.Answer.Result, r.ID, r.Payload)
	return err
}

// untrueEnds finds requests that ended as Done without a run of each task that was done.
func doneWithoutRun(history []ibisstandin.Entry, subs []ibisharness.Submission, final map[ibiswork.ID]ibiswork.Status) []string {
	done := map[task]bool{}
	for _, e := range history {
		if e.Event == ibisstandin.End && e.State == ibisserver.Done {
			done[taskOf(e)] = true
		}
	}
	var violations []string
	for _, s := range subs {
		end, ok := final[s.Request.ID]
		if !ok || end.Answer == nil || end.Answer.Outcome != ibiswork.Done {
			continue
		}
		for i := range s.Request.TaskCount() {
			if !done[task{s.Request.ID, i}] {
				violations = append(violations, fmt.Sprintf("%s was answered as done, but its task %d never was", s.Request.ID, i))
			}
		}
	}
	return violations
}

// unlikeAnswers finds non-idempotent requests whose callers got unlike answers.
func conflictingAnswers(subs []ibisharness.Submission, final map[ibiswork.ID]ibiswork.Status) []string {
	var violations []string
	for _, s := range subs {
		end := final[s.Request.ID]
		if s.Request.Idempotent || !s.Ended() || s.Status.Answer == nil || end.Answer == nil {
			continue
		}
		if a, b := s.Status.Answer, end.Answer; a.Outcome != b.Outcome || string(a.Result) != string(b.Result) {
			violations = append(violations, fmt.Sprintf("%s was answered as %s %q and as %s %q", s.Request.ID, a.Outcome, a.Result, b.Outcome, b.Result))
		}
	}
	return violations
}

// startedOnLeaving finds starts on a server later than leavingBound after it showed as leaving.
func startedOnLeaving(history []ibisstandin.Entry, server string, since time.Time) []string {
	var violations []string
	for _, e := range history {
		late := time.Unix(0, e.WallNS).Sub(since)
		if e.Event == ibisstandin.Start && e.Server == server && late > leavingBound {
			violations = append(violations, fmt.Sprintf("%v started on %s %v after it showed as leaving", e.TaskID, server, late))
		}
	}
	return violations
}

// takenWithdrawn finds submissions with a key that were accepted, or answered in any way but a refusal,
// later than keyBound after the withdrawal of the key.
func acceptedWithWithdrawnKey(subs []ibisharness.Submission, key string, withdrawnAt time.Time) []string {
	var violations []string
	for _, s := range subs {
		if late := s.Sent.Sub(withdrawnAt); s.Key == key && late > keyBound && s.Accepted() {
			violations = append(violations, fmt.Sprintf("%s was accepted by daemon %d %v after the withdrawal of its key", s.Request.ID, s.Daemon, late))
		}
	}
	return violations
}

// cutOff finds submissions that were sent and got no answer.
func unanswered(subs []ibisharness.Submission) []string {
	var violations []string
	for _, s := range subs {
		if s.Err != nil && s.Dialled {
			violations = append(violations, fmt.Sprintf("%s to daemon %d was cut off after %v: %v", s.Request.ID, s.Daemon, s.Received.Sub(s.Sent), s.Err))
		}
	}
	return violations
}
