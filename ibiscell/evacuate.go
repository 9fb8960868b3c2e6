package ibiscell

import "github.com/apex/log"

const (
	// evacuationReserveMS is the part of the bound on evacuations that is left for a start which was decided on with the
	// oldest knowledge allowed: commit, order over a relay, and the ping that is counted as the leader's clock.
	evacuationReserveMS = 1500
	// evacuatedRetryMS is the retry delay for jobs of a service all of whose servers are evacuated.
	evacuatedRetryMS = 5000
)

// SetEvacuations replaces the evacuated failure domains by those whose requests were read at asOf. Their servers get no
// new tasks; what runs there goes on.
func (e *Engine) SetEvacuations(now, asOf Time, domains []string) {
	e.now = now
	added, withdrawn := e.evacuations.Update(asOf, domains)
	for _, d := range added {
		e.evacuationLog(d).Info("EvacuationInForce")
	}
	for _, d := range withdrawn {
		e.evacuationLog(d).Info("EvacuationWithdrawn")
	}
	if len(added)+len(withdrawn) > 0 {
		e.placementDue = true
	}
}

// evacuationLog describes a failure domain at a change of its evacuation. No server may be in it: servers may join.
func (e *Engine) evacuationLog(domain string) *log.Entry {
	servers, runs := 0, 0
	for _, s := range e.servers {
		if s.info.FailureDomain == domain {
			servers++
			runs += len(s.runs)
		}
	}
	return e.log.WithFields(log.Fields{
		"FailureDomain": domain, "Servers": servers, "Runs": runs, "ReadMSAgo": e.now - e.evacuations.AsOf(), "Evacuated": e.evacuations.Len(),
	})
}

// evacuated reports whether the failure domain of s is evacuated.
func (e *Engine) evacuated(s *server) bool { return e.evacuations.Has(s.info.FailureDomain) }

// evacuationsUnknown reports whether an evacuation may have been in force for too long without this engine knowing it.
// Then nothing may be started anywhere.
func (e *Engine) evacuationsUnknown() bool {
	bound := e.settings.EvacuateMS
	return bound > 0 && !e.evacuations.Fresh(e.now, max(bound-evacuationReserveMS, bound/2))
}

// holdStarts reports whether no task may be placed now, and logs when that begins and ends.
func (e *Engine) holdStarts() bool {
	held := e.evacuationsUnknown()
	if held != e.startsHeld {
		e.startsHeld = held
		e.log.WithFields(log.Fields{"Held": held, "ReadMSAgo": e.now - e.evacuations.AsOf(), "BoundMS": e.settings.EvacuateMS}).Warn("StartsHeld")
	}
	return held
}

// serviceEvacuated reports whether all listed servers of a service are in evacuated failure domains.
func (e *Engine) serviceEvacuated(service string) bool {
	if e.evacuations.Len() == 0 {
		return false
	}
	found := false
	for _, s := range e.servers {
		if s.info.Service != service || !s.listed || s.info.Leaving {
			continue
		}
		if !e.evacuated(s) {
			return false
		}
		found = true
	}
	return found
}
