package ibisnode

import (
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// linkLogInterval is how long after the line about a daemon's link further links of that daemon are only counted. A
// daemon that loses its leader again and again would displace all other lines.
const linkLogInterval = 10 * time.Second

// linkChanges counts what has happened to links since the last report.
type linkChanges struct {
	opened, closed int
	configs        int // changes of the configuration sent
	configBytes    int // of these changes
}

// countConfig counts a change of the configuration that is sent to a linked daemon.
func (t *term) countConfig(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes.configs++
	t.changes.configBytes += bytes
}

// reportLinks logs what has happened to links since the last report.
func (t *term) reportLinks() {
	t.mu.Lock()
	c := t.changes
	t.changes = linkChanges{}
	t.mu.Unlock()
	if c == (linkChanges{}) {
		return
	}
	t.log.WithFields(log.Fields{"Opened": c.opened, "Closed": c.closed, "Configs": c.configs, "ConfigKB": c.configBytes >> 10}).Info("LinksChanged")
}

// Names of counters of bytes.
const (
	bytesPrefix   = "Bytes"       // begins all of them
	bytesInPrefix = "BytesIn"     // begins those of received bytes
	bytesInLink   = "BytesInLink" // messages of links
)

// bodiesReceived returns the bytes that this VM has received in the replies to calls, messages of links left out.
func (n *Node) bodiesReceived() (total int64) {
	n.registry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && strings.HasPrefix(name, bytesInPrefix) && name != bytesInLink {
			total += c.Count()
		}
	})
	return total
}

// reportTraffic logs how many KiB of each kind of call this VM has sent and received since the last report.
func (t *term) reportTraffic() {
	now := make(map[string]int64)
	fields := make(log.Fields)
	t.n.registry.Each(func(name string, m any) {
		c, ok := m.(metrics.Counter)
		if !ok || !strings.HasPrefix(name, bytesPrefix) {
			return
		}
		now[name] = c.Count()
		if kb := (now[name] - t.traffic[name]) >> 10; kb > 0 && t.traffic != nil {
			fields[strings.TrimPrefix(name, bytesPrefix)+"KB"] = kb
		}
	})
	t.traffic = now
	t.log.WithFields(fields).Info("LeaderTraffic")
}
