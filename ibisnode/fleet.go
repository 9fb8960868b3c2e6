package ibisnode

import (
	"context"

	"ibiscrank/ibiscell"
)

// fleetReading is what one read of the directory says about the backend servers.
type fleetReading struct {
	at        ibiscell.Time // lower bound of when the read began, on the leader's clock
	servers   []ibiscell.ServerInfo
	evacuated []string // failure domains; always empty where evacuations have no bound
}

// readFleet reads the evacuations and the backend servers. The evacuations come first, and without them there are no
// servers: a leader must not place tasks on servers of which it doesn't know whether they are evacuated.
func (n *Node) readFleet(ctx context.Context, at ibiscell.Time) (r fleetReading, err error) {
	r.at = at
	if n.settings.Cell.EvacuateMS > 0 {
		if r.evacuated, err = n.directory.Evacuations(ctx); err != nil {
			return fleetReading{}, err
		}
	}
	r.servers, err = n.directory.Servers(ctx)
	return r, err
}

// setFleet passes a reading on to the engine.
func (t *term) setFleet(e *ibiscell.Engine, r fleetReading) {
	t.setEvacuations(e, r.at, r.evacuated)
	t.setServers(e, r.servers)
}

// setEvacuations passes the evacuated failure domains, as read at a time, on to the engine.
func (t *term) setEvacuations(e *ibiscell.Engine, at ibiscell.Time, domains []string) {
	if t.n.settings.Cell.EvacuateMS > 0 {
		e.SetEvacuations(t.n.clock.Now(), at, domains)
	}
}
