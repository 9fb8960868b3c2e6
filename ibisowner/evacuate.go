package ibisowner

import (
	"time"

	"github.com/apex/log"

	"ibiscrank/ibiswork"
)

// evacuationRefusal is the reason for dropping a reservation in a failure domain that has been evacuated.
const evacuationRefusal = "the failure domain of a reserved place has been evacuated"

// refreshEvacuations takes over the evacuations of a new version of the configuration, and closes or opens servers
// accordingly. It is called before each placement and each start, so that neither waits for the next tick.
func (o *Owner) refreshEvacuations() {
	if o.cfg.Snapshot().Version != o.evacuationsVersion {
		o.updateClosed(time.Now())
	}
}

// updateEvacuations takes the evacuated failure domains over from the configuration if its version has changed. It
// releases reserved places there, so that their holders place the attempts elsewhere; tasks that were started go on.
func (o *Owner) updateEvacuations() {
	snap := o.cfg.Snapshot()
	if snap.Version == o.evacuationsVersion {
		return
	}
	o.evacuationsVersion = snap.Version
	// Elapsed time, since a step of the wall clock backwards must not make the set ignore an update.
	added, withdrawn := o.evacuations.Update(time.Since(o.createdAt).Milliseconds(), snap.EvacuatedDomains())
	for _, d := range added {
		o.evacuationLog(d).Info("EvacuationInForce")
	}
	for _, d := range withdrawn {
		o.evacuationLog(d).Info("EvacuationWithdrawn")
	}
	if len(added) > 0 {
		o.releaseEvacuated()
	}
	if len(added)+len(withdrawn) > 0 {
		o.requestRound()
	}
}

// evacuationLog describes the servers and tasks of this owner in a failure domain.
func (o *Owner) evacuationLog(domain string) *log.Entry {
	servers, tasks := 0, 0
	for _, s := range o.servers {
		if s.vm.FailureDomain == domain {
			servers++
			tasks += s.count
		}
	}
	return log.WithFields(log.Fields{
		"FailureDomain": domain, "Servers": servers, "Tasks": tasks, "Evacuated": o.evacuations.Len(), "Version": o.evacuationsVersion,
	})
}

// evacuated reports whether the failure domain of s is evacuated.
func (o *Owner) evacuated(s *server) bool { return o.evacuations.Has(s.vm.FailureDomain) }

// releaseEvacuated drops the placements that have reserved a place in an evacuated failure domain. Their holders ask
// again, for all tasks of a gang, whose places at other owners are kept meanwhile.
func (o *Owner) releaseEvacuated() {
	for _, p := range o.placements {
		if (p.state == waiting || p.state == reserved) && o.hasEvacuatedPlace(p) {
			o.dropPlacement(p, ibiswork.Refuse(ibiswork.CodeOverloaded, evacuationRefusal))
		}
	}
}

func (o *Owner) hasEvacuatedPlace(p *placement) bool {
	for _, place := range p.places {
		if s := o.servers[place.Server]; s != nil && o.evacuated(s) {
			return true
		}
	}
	return false
}

// startEvacuated counts and logs a start that is not sent because the failure domain of its server is evacuated, and
// returns the error of the start. It logs at most one such start in startNotSentInterval.
func (o *Owner) startEvacuated(s *server, t *task) error {
	o.startsRefused.Inc(1)
	if now := time.Now(); now.Sub(o.startNotSentLogged) >= startNotSentInterval {
		o.startNotSentLogged = now
		log.WithFields(log.Fields{
			"Evacuated": true, "FailureDomain": s.vm.FailureDomain, "Request": t.id.Request, "Server": s.vm.Name, "Total": o.startsRefused.Count(),
		}).Info("StartNotSent")
	}
	return Error.New("the failure domain %s of server %s is evacuated", s.vm.FailureDomain, s.vm.Name)
}

// startNotSentInterval bounds the log lines about starts that are not sent, since many places may be reserved when an
// evacuation comes into force.
const startNotSentInterval = 100 * time.Millisecond
