package ibisgate

import (
	"net/http"

	"ibiscrank/ibiswork"
)

// Health is the reply of /v1/health and /v1/ready.
type Health struct {
	Live  bool `json:"Live"`
	Ready bool `json:"Ready"`
}

// health serves GET /v1/health, the liveness check: it replies 200 whenever the process runs.
func (g *Gate) health(w http.ResponseWriter, r *http.Request) {
	ready := g.checkReady() == nil
	g.write(w, r, reply{status: http.StatusOK, body: Health{Live: true, Ready: ready}, label: "Health"})
}

// ready serves GET /v1/ready, which tells a load balancer whether to route callers to this daemon.
func (g *Gate) ready(w http.ResponseWriter, r *http.Request) {
	if err := g.checkReady(); err != nil {
		g.write(w, r, refusalReply(err, ""))
		return
	}
	g.write(w, r, reply{status: http.StatusOK, body: Health{Live: true, Ready: true}, label: "Ready"})
}

// checkReady returns the refusal that a request with a key would get now, or nil.
func (g *Gate) checkReady() error {
	if g.limiter.isDraining() {
		return ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is shutting down").WithRetryAfter(drainingRetryAfter)
	}
	if err := g.admission.Accept(true); err != nil {
		return err
	}
	if g.config.Snapshot() == nil {
		return ibiswork.Refuse(ibiswork.CodeRecovering, "this daemon has no configuration yet")
	}
	return nil
}
