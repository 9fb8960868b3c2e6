package ibisnode

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibiscell"
)

const (
	pingTimeout = 800 * time.Millisecond // time without a ping after which a linked daemon counts as silent
	// steppedDownPause lets other daemons acquire leadership first after this one gave it up. They may just have begun to
	// open a link to it (linkOpenTimeout), read the row every leaderPollInterval and wait for up to 1.1 s as candidates.
	steppedDownPause = 2 * time.Second
	// linkReopenTimeout is how long a daemon whose link has closed may take to open another one before it counts as silent.
	// It waits for the leader row to change (heartbeatInterval) and reads it every leaderPollInterval: 400 ms in all. All
	// links may be reset at once without the leader being cut off.
	linkReopenTimeout = 700 * time.Millisecond
	probeTimeout      = 400 * time.Millisecond // of the connection to a daemon whose link has closed
)

// TransferLeadership transfers leadership to another daemon, if this one leads, and makes this daemon never
// acquire it again. It doesn't wait for the transfer.
func (n *Node) TransferLeadership() {
	n.mu.Lock()
	n.draining = true
	t := n.ownTerm
	n.mu.Unlock()
	if t == nil {
		return
	}
	t.transferLeadership(0)
}

// transferLeadership asks the linked daemon with the most power to acquire leadership, if it has more than
// minPower. Among equals it takes the one started last, since daemons are often restarted in turn. Daemons
// that are being stopped are left out.
func (t *term) transferLeadership(minPower float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var successor *link
	for l := range t.links {
		if l.draining.Load() {
			continue
		}
		if successor == nil || l.Power > successor.Power || l.Power == successor.Power && l.Started > successor.Started {
			successor = l
		}
	}
	if successor != nil && successor.Power > minPower && successor.out.put(&frame{Transfer: &leadershipTransfer{Epoch: t.row.Epoch}}) {
		t.log.WithFields(log.Fields{"Peer": successor.Name, "Power": successor.Power, "OwnPower": t.n.settings.Power}).Info("LeadHandedOver")
	}
}

// checkLinks gives up leadership when most of the linked daemons are silent at once: they can more likely
// reach each other than this daemon. They elect a new leader as soon as the leader row names none.
func (t *term) checkLinks() {
	now := t.n.clock.Now()
	t.mu.Lock()
	silent, total := 0, len(t.unreached)
	for _, closedAt := range t.unreached {
		if now-closedAt > linkReopenTimeout.Milliseconds() {
			silent++
		}
	}
	links := make([]*link, 0, len(t.links))
	for l := range t.links {
		links = append(links, l)
		total++
		if now-l.pingAt.Load() > pingTimeout.Milliseconds() {
			silent++
		}
	}
	t.mu.Unlock()
	for _, l := range links {
		t.expireOrders(l, now)
	}
	if total < 2 || 2*silent <= total || t.steppingDown.Load() {
		return
	}
	t.log.WithFields(log.Fields{"Links": total, "Silent": silent}).Warn("LeadGivenUp")
	t.steppingDown.Store(true)
}

// probeMember checks whether a daemon whose link has closed has stopped: then its VM refuses connections. One
// that doesn't answer may be running but partitioned from this one, and counts as unreached.
func (t *term) probeMember(m member, closedAt ibiscell.Time) {
	conn, err := net.DialTimeout("tcp", m.Address, probeTimeout)
	if err == nil {
		_ = conn.Close() // only whether the port accepts connections matters
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
	t.unreached[m.Name] = closedAt
}

// isDraining reports whether TransferLeadership has been called.
func (n *Node) isDraining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining
}
