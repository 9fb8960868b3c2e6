package ibisgate

import (
	"net/http"

	"ibiscrank/ibiswork"
)

// Health is the answer of /v1/health and /v1/ready.
type Health struct {
	Live  bool `json:"Live"`
	Ready bool `json:"Ready"`
}

// health answers whenever the process runs.
func (g *Gate) health(w http.ResponseWriter, r *http.Request) {
	ready := g.unready() == nil
	g.write(w, r, reply{status: http.StatusOK, body: Health{Live: true, Ready: ready}, label: "Health"})
}

// ready tells the balancer whether to send callers here.
func (g *Gate) ready(w http.ResponseWriter, r *http.Request) {
	if err := g.unready(); err != nil {
		g.write(w, r, refuse(err, ""))
		return
	}
	g.write(w, r, reply{status: http.StatusOK, body: Health{Live: true, Ready: true}, label: "Ready"})
}

// unready is why keyed work would be refused now, or nil.
func (g *Gate) unready() error {
	if g.flow.isDraining() {
		return ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is shutting down").WithRetryAfter(drainingRetry)
	}
	if err := g.admission.Accept(true); err != nil {
		return err
	}
	if g.config.Snapshot() == nil {
		return ibiswork.Refuse(ibiswork.CodeRecovering, "this daemon has no configuration yet")
	}
	return nil
}
