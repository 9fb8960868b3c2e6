package ibiscell

import (
	"math"

	"github.com/apex/log"
)

// Trials after a first crash do not contain many jobs that each crash servers, since the first crash of each takes a full
// server along. While jobs of a queue and a team crash servers soon after their starts, the engine is cautious about them: of
// each step it first tries one task, and refuses jobs that would wait too long for that.

const (
	cautionThreshold    = 2.0 // crash score from which on the engine is cautious
	cautionEnd          = 1.0 // crash score below which it no longer is
	cautionMax          = 5.0 // largest crash score
	forgottenScore      = 0.01
	recentStartMS       = 80    // a crash within this time after a start counts against the job's queue and team
	newStepMS           = 3_000 // steps that became ready this long ago count for the scores
	teamCautionShare    = 1.0   // largest part of one team in the score of its queue, so that no team alone holds up the others
	unrelatedCrash      = 0.5   // what a crash without a recent start of a queue takes off the scores of its teams
	survivedTrial       = 0.15  // what a trial without a crash takes off the score
	cautionTimeConstant = 5_000 // of the decay, in milliseconds
)

// account identifies the jobs of one team in one queue.
type account struct{ queue, team string }

// crashScore counts the crashes soon after starts of one account, less what speaks against it as their cause.
type crashScore struct {
	value float64
	at    Time // when value was computed
}

func accountOf(t *task) account {
	j := t.step.occ.job
	return account{j.spec.Queue, j.spec.Team}
}

// score returns the present score of a.
func (e *Engine) score(a account) float64 {
	c := e.crashScores[a]
	if c == nil {
		return 0
	}
	return c.value * math.Exp(-float64(e.now-c.at)/cautionTimeConstant)
}

// addScore changes the score of a.
func (e *Engine) addScore(a account, by float64) {
	c := e.crashScores[a]
	if c == nil {
		if by <= 0 {
			return
		}
		c = &crashScore{}
		e.crashScores[a] = c
	}
	c.value, c.at = min(max(e.score(a)+by, 0), cautionMax), e.now
}

// scoreCrash changes the scores after a crash of a server with the given runs, the last to start first. It counts against
// those whose runs had just started and were the last to do so; for queues without a recent start there, it speaks for
// another cause.
func (e *Engine) scoreCrash(runs []*run) {
	last := make(map[account]bool)
	queues := make(map[string]bool)
	for _, r := range runs {
		if r.sentAt == 0 || e.now-r.sentAt > recentStartMS || r.survived {
			continue
		}
		a := accountOf(r.task)
		queues[a.queue] = true
		if r.sentAt >= runs[0].sentAt-sameStartMS && e.isNew(r.task) {
			last[a] = true
		}
	}
	for a := range last {
		e.addScore(a, 1)
	}
	for a := range e.crashScores {
		if !queues[a.queue] {
			e.addScore(a, -unrelatedCrash)
		}
	}
	e.updateCaution()
}

// isNew reports whether what t does says something about the jobs that come now.
func (e *Engine) isNew(t *task) bool { return e.now-t.step.openAt <= newStepMS }

// updateCaution decides anew for which accounts and queues the engine is cautious, and forgets scores that have decayed.
func (e *Engine) updateCaution() {
	if len(e.crashScores) == 0 {
		return
	}
	sums := make(map[string]float64)
	for a := range e.crashScores {
		score := e.score(a)
		sums[a.queue] += min(score, teamCautionShare)
		e.setCaution(a, score)
		if score < forgottenScore {
			delete(e.crashScores, a)
		}
	}
	for queue, sum := range sums {
		e.setCaution(account{queue: queue}, sum)
	}
}

// setCaution begins or ends the caution about a, which is a whole queue if it has no team.
func (e *Engine) setCaution(a account, score float64) {
	was := e.caution[a]
	if now := score >= cautionThreshold || was && score >= cautionEnd; now != was {
		e.log.WithFields(log.Fields{"Queue": a.queue, "Team": a.team, "Score": math.Round(100*score) / 100, "Cautious": now}).Warn("CautionChanged")
		e.caution[a] = now
		if !now {
			delete(e.caution, a)
		}
	}
}

// cautious reports whether the first task of st is to be tried before the others start.
func (e *Engine) cautious(st *step) bool {
	j := st.occ.job
	return e.caution[account{j.spec.Queue, j.spec.Team}] || e.caution[account{queue: j.spec.Queue}]
}
