package ibiscell

import "slices"

// countLeaving records the end of a leaving server for those of its runs that had not survived their start. It may have been
// shut down, so the record is uncertain.
func (e *Engine) countLeaving(runs []*run) {
	for _, r := range runs {
		if r.crash == 0 && !r.survived {
			r.crash, r.crashOf = crashUncertain, r.server.info.Incarnation
			e.countCrash(r)
		}
	}
}

// startedOnSuccessor notes that the present incarnation of its server has listed r. If the start order was sent once, r was
// not what crashed the previous incarnation.
func (e *Engine) startedOnSuccessor(r *run) {
	if r.crash != 0 && r.crashOf != r.server.info.Incarnation && r.sentAt != 0 && !r.repeated {
		e.clearCrash(r)
	}
	r.crash = 0
}

// clearCrash removes the record of r, which was not running on a server when that crashed. The record of a gang stays while
// it may be about another member.
func (e *Engine) clearCrash(r *run) {
	if r.crash == 0 {
		return
	}
	r.crash = 0
	t := r.task
	if t.step.spec.Gang && slices.ContainsFunc(t.step.tasks, func(m *task) bool { return m.run == nil || m.run.crash != 0 }) {
		return
	}
	e.dropCrash(t, r.name.Run)
}

// countLateStart records r, which has ended, if it was started after crashesToCountStarts crashes and its task may be given
// up. The platform counts such starts whatever became of them. Long-running tasks, whose starts are not attempts, are exempt.
func (e *Engine) countLateStart(r *run) {
	list := *r.task.crashRecords()
	if r.state <= runAssigned || r.task.step.spec.LongRunning || len(list) < crashesToCountStarts || certainCrashes(list) < crashesToGiveUp {
		return
	}
	if list[crashesToCountStarts-1].Run < r.name.Run {
		e.addCrash(r.task, crash{Run: r.name.Run, Kind: crashBystander})
	}
}
