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
func second(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

func entry(event ibisstandin.Event, state ibisserver.State, server string, id ibiswork.ID, attempt int, at float64) ibisstandin.Entry {
	return ibisstandin.Entry{
		Server: server, Event: event, State: state, Team: "team", WallNS: second(at).UnixNano(),
		TaskID:    ibisserver.TaskID{Request: id, Attempt: attempt},
		Resources: ibiswork.Resources{Slots: 1},
	}
}

func begins(server string, id ibiswork.ID, attempt int, at float64) ibisstandin.Entry {
	return entry(ibisstandin.Start, ibisserver.Running, server, id, attempt, at)
}

func ends(server string, id ibiswork.ID, attempt int, at float64) ibisstandin.Entry {
	return entry(ibisstandin.End, ibisserver.Done, server, id, attempt, at)
}

type submission = ibisharness.Submission

func sent(id ibiswork.ID, at float64) submission {
	return submission{Request: ibiswork.Request{ID: id}, Sent: second(at), Got: second(at), Dialled: true}
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

type endings = map[ibiswork.ID]ibiswork.Status

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
	lost := sent("a", 0)
	lost.Err = errors.New("EOF")
	unknown := map[ibiswork.ID]ibiswork.Refusal{"a": {Code: ibiswork.CodeOutcomeUnknown}}
	withKey := func(s submission) submission { s.Key = "k"; return s }
	gang := sent("a", 0)
	gang.Request.Class, gang.Request.Tasks = ibiswork.Gang, 2
	secondOfGang := ends("x", "a", 1, 2)
	secondOfGang.TaskID.Index = 1
	otherTeam := begins("y", "b", 1, 1)
	otherTeam.Team = "other"
	lowered := []limit{{second(0), two}, {second(10), one}}

	for _, tc := range []struct {
		name string
		got  []string
		want int
	}{
		{"OvercommittedNot", overcommitted(history(begins("x", "a", 1, 0), ends("x", "a", 1, 1), begins("x", "b", 1, 1), begins("y", "c", 1, 1)), one), 0},
		{"Overcommitted", overcommitted(history(begins("x", "a", 1, 0), begins("x", "b", 1, 1)), one), 1},
		{"OvercommittedBeforeTheEnd", overcommitted(history(begins("x", "a", 1, 0), begins("x", "b", 1, 1), ends("x", "a", 1, 1)), one), 1},

		{"TwoPlacesNot", inTwoPlaces(history(begins("x", "a", 1, 0), ends("x", "a", 1, 1), begins("y", "a", 2, 1))), 0},
		{"TwoPlaces", inTwoPlaces(history(begins("x", "a", 1, 0), ends("x", "a", 1, 2), begins("y", "a", 2, 1), ends("y", "a", 2, 3))), 1},
		{"TwoPlacesSameServer", inTwoPlaces(history(begins("x", "a", 1, 0), begins("x", "a", 2, 1))), 1},
		{"TwoPlacesStrangeEnd", inTwoPlaces(history(begins("x", "a", 1, 0), ends("y", "a", 1, 1), begins("y", "a", 2, 2))), 1},

		{"TwiceNot", startedTwice(history(begins("x", "a", 1, 0), ends("x", "a", 1, 1)), subs(sent("a", 0))), 0},
		{"TwiceIdempotent", startedTwice(history(begins("x", "a", 1, 0), begins("x", "a", 2, 1)), subs(idempotent)), 0},
		{"Twice", startedTwice(history(begins("x", "a", 1, 0), ends("x", "a", 1, 1), begins("y", "a", 2, 9)), subs(sent("a", 0))), 1},

		{"EndedAll", notEnded(subs(accepted(sent("a", 0), ibiswork.Queued, ""), refused(sent("b", 0), true)), endings{"a": *status("a", ibiswork.Ended, "")}, nil), 0},
		{"EndedUnknown", notEnded(subs(accepted(sent("a", 0), ibiswork.Queued, "")), nil, unknown), 0},
		{"EndedNever", notEnded(subs(accepted(sent("a", 0), ibiswork.Queued, "")), nil, nil), 1},
		{"EndedNotYet", notEnded(subs(accepted(sent("a", 0), ibiswork.Queued, "")), endings{"a": *status("a", ibiswork.Running, "")}, nil), 1},
		{"EndedUnknownIdempotent", notEnded(subs(accepted(idempotent, ibiswork.Queued, "")), nil, unknown), 1},

		{"TruthUnknown", untruths(history(begins("x", "a", 1, 1)), subs(refused(sent("a", 0), false))), 0},
		{"TruthLaterAccepted", untruths(history(begins("x", "a", 1, 3)), subs(refused(sent("a", 0), true), accepted(sent("a", 2), ibiswork.Queued, ""))), 0},
		{"TruthEarlierLost", untruths(history(begins("x", "a", 1, 3)), subs(lost, refused(sent("a", 2), true))), 0},
		{"Untruth", untruths(history(begins("x", "a", 1, 1)), subs(refused(sent("a", 0), true))), 1},
		{"UntruthNotDialled", untruths(history(begins("x", "a", 1, 1)), subs(notDialled)), 1},
		{"UntruthBeforeAccepted", untruths(history(begins("x", "a", 1, 1)), subs(refused(sent("a", 0), true), accepted(sent("a", 2), ibiswork.Queued, ""))), 1},

		{"LimitKept", aboveLimit(history(begins("x", "a", 1, 0), otherTeam, ends("x", "a", 1, 2), begins("y", "c", 1, 2)), "team", []limit{{second(0), one}}), 0},
		{"LimitMerged", aboveLimit(history(begins("x", "a", 1, 0), ends("x", "a", 1, 2), begins("y", "c", 1, 1)), "team", []limit{{second(0), one}}), 1},
		{"LimitLoweredRunning", aboveLimit(history(begins("x", "a", 1, 0), begins("x", "b", 1, 0), ends("x", "a", 1, 30), ends("x", "b", 1, 31)), "team", lowered), 0},
		{"LimitLoweredJustNow", aboveLimit(history(begins("x", "a", 1, 0), begins("x", "b", 1, 12)), "team", lowered), 0},
		{"LimitLowered", aboveLimit(history(begins("x", "a", 1, 0), begins("x", "b", 1, 16)), "team", lowered), 1},
		{"LimitBeforeItIsSet", aboveLimit(history(begins("x", "a", 1, 0)), "team", []limit{{second(1), one}}), 1},

		{"OwnAnswer", notOwnAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, resultOf("a"))), endings{"a": *status("a", ibiswork.Ended, resultOf("a"))}), 0},
		{"StrangeResult", notOwnAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, resultOf("b"))), nil), 1},
		{"HalfResult", notOwnAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, resultOf("a")[:20])), nil), 1},
		{"StrangeAnswer", notOwnAnswers(subs(sent("a", 0)), endings{"a": *status("b", ibiswork.Ended, resultOf("b"))}), 1},

		{"EndTrue", untrueEnds(history(ends("x", "a", 1, 1)), subs(sent("a", 0)), endings{"a": *status("a", ibiswork.Ended, "")}), 0},
		{"EndTrueGang", untrueEnds(history(ends("x", "a", 1, 1), secondOfGang), subs(gang), endings{"a": *status("a", ibiswork.Ended, "")}), 0},
		{"EndUntrue", untrueEnds(nil, subs(sent("a", 0)), endings{"a": *status("a", ibiswork.Ended, "")}), 1},
		{"EndUntrueGang", untrueEnds(history(ends("x", "a", 1, 1)), subs(gang), endings{"a": *status("a", ibiswork.Ended, "")}), 1},

		{"LikeAnswers", unlikeAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, "r")), endings{"a": *status("a", ibiswork.Ended, "r")}), 0},
		{"UnlikeAnswers", unlikeAnswers(subs(accepted(sent("a", 0), ibiswork.Ended, "r")), endings{"a": *status("a", ibiswork.Ended, "s")}), 1},

		{"LeavingAtOnce", startedOnLeaving(history(begins("x", "a", 1, 4), begins("y", "b", 1, 9)), "x", second(0)), 0},
		{"LeavingLate", startedOnLeaving(history(begins("x", "a", 1, 6)), "x", second(0)), 1},

		{"WithdrawnRefused", takenWithdrawn(subs(withKey(accepted(sent("a", 3), ibiswork.Queued, "")), withKey(refused(sent("b", 9), true))), "k", second(0)), 0},
		{"WithdrawnTaken", takenWithdrawn(subs(withKey(accepted(sent("a", 6), ibiswork.Queued, ""))), "k", second(0)), 1},

		{"CutOffNot", cutOff(subs(notDialled, refused(sent("b", 0), true))), 0},
		{"CutOff", cutOff(subs(lost)), 1},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, len(tc.got), tc.want, "%v", tc.got) })
	}
}
