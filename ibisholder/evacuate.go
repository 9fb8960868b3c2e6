package ibisholder

import (
	"strings"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

const (
	// evacuatedRetryAfter is the retry delay of requests that only evacuated backend servers could run. Operators
	// withdraw an evacuation after minutes, so that a shorter delay would only add load.
	evacuatedRetryAfter = 5 * time.Second
	// evacuatedLogInterval bounds the log lines about these requests.
	evacuatedLogInterval = 1 * time.Second
)

// checkNotEvacuated refuses a request if every backend server that could run it is in an evacuated failure domain.
// Servers of the VM list that are not claimed count as able to run it.
func (h *Holder) checkNotEvacuated(r ibiswork.Request) error {
	snap := h.cfg.Snapshot()
	if len(snap.Evacuations) == 0 {
		return nil
	}
	servers, left := 0, 0
	for _, vm := range h.cfg.VMs() {
		if vm.State == ibisserver.Gone || vm.State == ibisserver.Leaving {
			continue
		}
		servers++
		if _, ok := snap.Evacuations[vm.FailureDomain]; !ok {
			left++
		}
	}
	var open, evacuated ibiswork.Resources
	for _, m := range h.cfg.View().Members {
		open = open.Max(m.Digest.Load.LargestCapacity)
		evacuated = evacuated.Max(m.Digest.Load.LargestEvacuated)
	}
	allEvacuated := servers > 0 && left == 0
	tooLargeForOthers := !open.IsZero() && !r.Resources.FitsIn(open) && r.Resources.FitsIn(evacuated)
	if !allEvacuated && !tooLargeForOthers {
		return nil
	}
	domains := strings.Join(snap.EvacuatedDomains(), ", ")
	h.refusedEvacuated.Inc(1)
	now := time.Now()
	if last := h.evacuatedLogged.Load(); now.UnixNano()-last >= evacuatedLogInterval.Nanoseconds() && h.evacuatedLogged.CompareAndSwap(last, now.UnixNano()) {
		log.WithFields(log.Fields{"Request": r.ID, "Team": r.Team, "Evacuated": domains, "Total": h.refusedEvacuated.Count()}).Info("JobRefusedEvacuated")
	}
	return ibiswork.Refuse(ibiswork.CodeOverloaded,
		"every backend server that could run it is in an evacuated failure domain (%s)", domains).WithRetryAfter(evacuatedRetryAfter)
}
