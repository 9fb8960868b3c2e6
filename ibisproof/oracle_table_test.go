package ibisproof

import (
	"encoding/json"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisharness"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// second is the wall clock of the examples at that second.
func atSecond(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

func historyEntry(event ibisstandin.Event, state ibisserver.State, server string, id ibiswork.ID, attempt int, at float64) ibisstandin.Entry {
	return ibisstandin.Entry{
		Server: server, Event: event, State: state, Team: "team", WallNS: atSecond(at).UnixNano(),
		TaskID:    ibisserver.TaskID{Request: id, Attempt: attempt},
		Resources: ibiswork.Resources{Slots: 1},
	}
}

func startEntry(server string, id ibiswork.ID, attempt int, at float64) ibisstandin.Entry {
	return historyEntry(ibisstandin.Start, ibisserver.Running, server, id, attempt, at)
}

func endEntry(server string, id ibiswork.ID, attempt int, at float64) ibisstandin.Entry {
	return historyEntry(ibisstandin.End, ibisserver.Done, server, id, attempt, at)
}

type submission = ibisharness.Submission

func sent(id ibiswork.ID, at float64) submission {
	return submission{Request: ibiswork.Request{ID: id}, Sent: atSecond(at), Received: atSecond(at), Dialled: true}
}

func refused(s submission, notRun bool) submission {
	s.Refusal = &ibiswork.Refusal{Code: ibiswork.CodeOverloaded, NotRun: notRun}
	return s
}

func accepted(s submission, stage ibiswork.Stage, result string) submission {
	s.Status = status(s.Request.ID, stage, result)
	return s
}

func status(id ibiswork.ID, stage ibiswork.Stage, result string) *ibiswork.Status {
	st := &ibiswork.Status{ID: id, Stage: stage}
	if stage == ibiswork.Ended {
		st.Answer = &ibiswork.Answer{ID: id, Outcome: ibiswork.Done, Result: []byte(result)}
	}
	return st
}

// resultOf is what a backend server gives for a request without a payload.
func resultOf(id ibiswork.ID) string {
	b, err := json.Marshal(ibisstandin.Result{Request: id, PayloadSum: strconv.FormatUint(xxhash.Sum64(nil), 16)})
	if err != nil {
		panic(err)
	}
	return string(b)
}

type statuses = map[ibiswork.ID]ibiswork.Status

// Each oracle is shown a good case, for which it must find nothing, and bad ones.
func TestOracles(t *testing.T) {
	one := ibiswork.Resources{Slots: 1}
	two := ibiswork.Resources{Slots: 2}
	history := func(es ...ibisstandin.Entry) []ibisstandin.Entry { return es }
	subs := func(ss ...submission) []submission { return ss }
	idempotent := sent("a", 0)
	idempotent.Request.Idempotent = true
	notDialled := sent("a", 0)
	notDialled.Dialled, notDialled.Err = false, errors.New("refused")
	noReply := sent("a", 0)
	noReply.Err = errors.New("EOF")
	unknown := map[ibiswork.ID]ibiswork.Refusal{"a": {Code: ibiswork.CodeOutcomeUnknown}}
	withKey := func(s submission) submission { s.Key = "k"; return s }
	gang := sent("a", 0)
	gang.Request.Class, gang.Request.Tasks = ibiswork.Gang, 2
	secondOfGang := endEntry("x", "a", 1, 2)
	secondOfGang.TaskID.Index = 1
	otherTeam := startEntry("y", "b", 1, 1)
	otherTeam.Team = "other"
	lowered := []limit{{atSecond(0), two}, {atSecond(10), one}}

	for _, tc := range []struct {
		name string
		got  []string
		want int
	}{
		{"OvercommittedNot", overcommitted(history(startEntry("x", "a", 1, 0), endEntry("x", "a", 1, 1), startEntry("x", "b", 1, 1), startEntry("y", "c", 1, 1)), one), 0},
		{"Overcommitted", overcommitted(history(startEntry("x", "a", 1, 0), startEntry("x", "b", 1, 1)), one), 1},
		{"OvercommittedBeforeTheEnd", overcommitted(history(startEntry("x", "a", 1, 0), startEntry("x", "b", 1, 1), endEntry("x", "a", 1, 1)), one), 1},

		{"TwoPlacesNot", runningTwice(history(startEntry("x", "a", 1, 0), endEntry("x", "a", 1, 1), startEntry("y", "a", 2, 1))), 0},
		{"TwoPlaces", runningTwice(history(startEntry("x", "a", 1, 0), endEntry("x", "a", 1, 2), startEntry("y", "a", 2, 1), endEntry("y", "a", 2, 3))), 1},
		{"TwoPlacesSameServer", runningTwice(history(startEntry("x", "a", 1, 0), startEntry("x", "a", 2, 1))), 1},
		{"TwoPlacesStrangeEnd", runningTwice(history(startEntry("x", "a", 1, 0), endEntry("y", "a", 1, 1), startEntry("y", "a", 2, 2))), 1},

		{"TwiceNot", startedTwice(history(startEntry("x", "a", 1, 0), endEntry("x", "a", 1, 1)), subs(sent("a", 0))), 0},
		{"TwiceIdempotent", startedTwice(history(startEntry("x", "a", 1, 0), startEntry("x", "a", 2, 1)), subs(idempotent)), 0},
		{"Twice", startedTwice(history(startEntry("x", "a", 1, 0), endEntry("x", "a", 1, 1), startEntry("y", "a", 2, 9)), subs(sent("a", 0))), 1},

		{"EndedAll", unfinished(subs(accepted(sent("a", 0), ibiswork.Queued, ""), refused(sent("b", 0), true)), statuses{"a": *status("a", ibiswork.Ended, "")}, nil), 0},
		{"EndedUnknown", unfinished(subs(accepted(sent("a", 0), ibiswork.Queued, "")), nil, unknown), 0},
		{"EndedNever", unfinished(subs(accepted(sent("a", 0), ibiswork.Queued, "")), nil, nil), 1},
		{"EndedNotYet", unfinished(subs(accepted(sent("a", 0), ibiswork.Queued, "")), statuses{"a": *status("a", ibiswork.Running, "")}, nil), 1},
		{"EndedUnknownIdempotent", unfinished(subs(accepted(idempotent, ibiswork.Queued, "")), nil, unknown), 1},

		{"TruthUnknown", falseNotRun(history(startEntry("x", "a", 1, 1)), subs(refused(sent("a", 0), false))), 0},
		{"TruthLaterAccepted", falseNotRun(history(startEntry("x", "a", 1, 3)), subs(refused(sent("a", 0), true), accepted(sent("a", 2), ibiswork.Queued, ""))), 0},
		{"TruthEarlierLost", falseNotRun(history(startEntry("x", "a", 1, 3)), subs(noReply, refused(sent("a", 2), true))), 0},
		{"Untruth", falseNotRun(history(startEntry("x", "a", 1, 1)), subs(refused(sent("a", 0), true))), 1},
		{"UntruthNotDialled", falseNotRun(history(startEntry("x", "a", 1, 1)), subs(notDialled)), 1},
		{"UntruthBeforeAccepted", falseNotRun(history(startEntry("x", "a", 1, 1)), subs(refused(sent("a", 0), true), accepted(sent("a", 2), ibiswork.Queued, ""))), 1},

		{"LimitKept", aboveLimit(history(startEntry("x", "a", 1, 0), otherTeam, endEntry("x", "a", 1, 2), startEntry("y", "c", 1, 2)), "team", []limit{{atSecond(0), one}}), 0},
		{"LimitMerged", aboveLimit(history(startEntry("x", "a", 1, 0), endEntry("x", "a", 1, 2), startEntry("y", "c", 1, 1)), "team", []limit{{atSecond(0), one}}), 1},
		{"LimitLoweredRunning", aboveLimit(history(startEntry("x", "a", 1, 0), startEntry("x", "b", 1, 0), endEntry("x", "a", 1, 30), endEntry("x", "b", 1, 31)), "team", lowered), 0},
		{"LimitLoweredJustNow", aboveLimit(history(startEntry("x", "a", 1, 0), startEntry("x", "b", 1, 12)), "team", lowered), 0},
		{"LimitLowered", aboveLimit(history(startEntry("x", "a", 1, 0), startEntry("x", "b", 1, 16)), "team", lowered), 1},
		{"LimitBeforeItIsSet", aboveLimit(history(startEntry("x", "a", 1, 0)), "team", []limit{{atSecond(1), one}}), 1},

		{"OwnAnswer", wrongAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, resultOf("a"))), statuses{"a": *status("a", ibiswork.Ended, resultOf("a"))}), 0},
		{"StrangeResult", wrongAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, resultOf("b"))), nil), 1},
		{"HalfResult", wrongAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, resultOf("a")[:20])), nil), 1},
		{"StrangeAnswer", wrongAnswers(subs(sent("a", 0)), statuses{"a": *status("b", ibiswork.Ended, resultOf("b"))}), 1},

		{"EndTrue", doneWithoutRun(history(endEntry("x", "a", 1, 1)), subs(sent("a", 0)), statuses{"a": *status("a", ibiswork.Ended, "")}), 0},
		{"EndTrueGang", doneWithoutRun(history(endEntry("x", "a", 1, 1), secondOfGang), subs(gang), statuses{"a": *status("a", ibiswork.Ended, "")}), 0},
		{"EndUntrue", doneWithoutRun(nil, subs(sent("a", 0)), statuses{"a": *status("a", ibiswork.Ended, "")}), 1},
		{"EndUntrueGang", doneWithoutRun(history(endEntry("x", "a", 1, 1)), subs(gang), statuses{"a": *status("a", ibiswork.Ended, "")}), 1},

		{"LikeAnswers", conflictingAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, "r")), statuses{"a": *status("a", ibiswork.Ended, "r")}), 0},
		{"UnlikeAnswers", conflictingAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, "r")), statuses{"a": *status("a", ibiswork.Ended, "s")}), 1},

		{"LeavingAtOnce", startedOnLeaving(history(startEntry("x", "a", 1, 4), startEntry("y", "b", 1, 9)), "x", atSecond(0)), 0},
		{"LeavingLate", startedOnLeaving(history(startEntry("x", "a", 1, 6)), "x", atSecond(0)), 1},

		{"WithdrawnRefused", acceptedWithWithdrawnKey(subs(withKey(accepted(sent("a", 3), ibiswork.Queued, "")), withKey(refused(sent("b", 9), true))), "k", atSecond(0)), 0},
		{"WithdrawnTaken", acceptedWithWithdrawnKey(subs(withKey(accepted(sent("a", 6), ibiswork.Queued, ""))), "k", atSecond(0)), 1},

		{"CutOffNot", unanswered(subs(notDialled, refused(sent("b", 0), true))), 0},
		{"CutOff", unanswered(subs(noReply)), 1},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, len(tc.got), tc.want, "%v", tc.got) })
	}
}
