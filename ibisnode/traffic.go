package ibisnode

import (
	"strings"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// bytesPrefix begins the names of all counters of bytes.
const bytesPrefix = "Bytes"

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
