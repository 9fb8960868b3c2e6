package ibisnode

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
)

const (
	silentLink   = 800 * time.Millisecond  // without a ping: the other end cannot be reached
	vacatedFor   = 1200 * time.Millisecond // a daemon that has given up the lead leaves it to others for this long
	probeTimeout = 400 * time.Millisecond  // of a look whether a daemon that has left is gone
)

// HandOver makes another daemon lead, if this one does, and refuses to lead again.
func (n *Node) HandOver() {
	n.mu.Lock()
	n.draining = true
	t := n.leader
	n.mu.Unlock()
	if t == nil {
		return
	}
	t.handOver(0)
}

// handOver asks a linked daemon to take the lead, if it has more power than given: a strong one, and of these
// the one that has started last, since daemons are often restarted in turn. One that is being stopped itself
// is not asked.
func (t *term) handOver(above float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *link
	for l := range t.links {
		if l.leaving.Load() {
			continue
		}
		if best == nil || l.Power > best.Power || l.Power == best.Power && l.Started > best.Started {
			best = l
		}
	}
	if best != nil && best.Power > above && best.out.put(&frame{Succeed: &succeed{Epoch: t.row.Epoch}}) {
		t.log.WithFields(log.Fields{"Peer": best.Name, "Power": best.Power, "OwnPower": t.n.set.Power}).Info("LeadHandedOver")
	}
}

// checkLinks gives up the lead when most of the linked daemons have fallen silent at once: they are more
// likely to reach each other than this one, and look for a new leader as soon as the row names none.
func (t *term) checkLinks() {
	now := t.n.clock.Now()
	t.mu.Lock()
	silent, all := len(t.unreached), len(t.unreached)
	for l := range t.links {
		all++
		if now-l.pingAt.Load() > silentLink.Milliseconds() {
			silent++
		}
	}
	t.mu.Unlock()
	if all < 2 || 2*silent <= all || t.vacating.Load() {
		return
	}
	t.log.WithFields(log.Fields{"Links": all, "Silent": silent}).Warn("LeadGivenUp")
	t.vacating.Store(true)
}

// probe finds out whether a daemon whose link has broken is gone: then its VM refuses connections. One that
// does not answer may be well, and cut off from this one.
func (t *term) probe(m member) {
	conn, err := net.DialTimeout("tcp", m.Address, probeTimeout)
	if err == nil {
		_ = conn.Close() // it was only to see whether somebody listens
	}
	if t.ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for l := range t.links {
		if l.Name == m.Name {
			return
		}
	}
	t.unreached[m.Name] = true
}

func (n *Node) isDraining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining
}
