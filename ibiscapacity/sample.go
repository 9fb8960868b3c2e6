package ibiscapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"ibiscrank/ibishttp"
	"ibiscrank/ibisstandin"
)

// Error is the class of errors of this package.
var Error = errs.Class("capacity")

const (
	ticksPerSecond = 100 // USER_HZ, the unit of processor time in /proc
	bytesPerMB     = 1 << 20
	callTimeout    = 10 * time.Second
)

// sample holds the totals of all daemons since their start, and their present memory use.
type sample struct {
	wallSeconds float64 // wall-clock time of the sample
	cpuSeconds  float64
	memoryBytes float64 // resident
	tableReads  float64
	tableWrites float64            // rows
	counters    map[string]float64 // from the daemons' metrics
}

// rates returns the resource use of n daemons between the samples a and b, by the name and unit of each value.
func rates(a, b sample, n int) map[string]float64 {
	t, d := b.wallSeconds-a.wallSeconds, float64(n)
	// delta returns the rate of the sum of some counters, per second and daemon.
	delta := func(names ...string) float64 {
		sum := 0.0
		for _, name := range names {
			sum += b.counters[name] - a.counters[name]
		}
		return sum / t / d
	}
	r := map[string]float64{
		"Processor, % of a core a daemon": 100 * (b.cpuSeconds - a.cpuSeconds) / t / d,
		"Memory, MB a daemon":             b.memoryBytes / bytesPerMB / d,
		"Table reads/s, all daemons":      (b.tableReads - a.tableReads) / t,
		"Table writes/s, all daemons":     (b.tableWrites - a.tableWrites) / t,
		"Table bytes/s a daemon":          delta("TableBytesIn", "TableBytesOut"),
		"Server bytes/s a daemon":         delta("ServersBytesIn", "ServersBytesOut"),
		"Starts/s, all daemons":           delta("TasksStarted") * d,
	}
	for name := range b.counters {
		if method, ok := strings.CutSuffix(name, "Calls"); ok {
			if method, ok = strings.CutPrefix(method, "RpcOut"); ok {
				r[method+" calls/s a daemon"] = delta(name)
				in, out := "RpcIn"+method, "RpcOut"+method
				r[method+" bytes/s a daemon"] = delta(in+"BytesIn", in+"BytesOut", out+"BytesIn", out+"BytesOut")
			}
		}
	}
	return r
}

// takeSample reads the counters of all daemons and of the table service.
func (c *cluster) takeSample(ctx context.Context) (sample, error) {
	s := sample{counters: make(map[string]float64)}
	for _, d := range c.daemons {
		if err := s.addProcess(d.cmd.Process.Pid); err != nil {
			return s, err
		}
		if err := c.addMetrics(ctx, d, &s); err != nil {
			return s, err
		}
	}
	var st ibisstandin.TableStats
	if err := c.get(ctx, c.addresses.Table+ibisstandin.PathStats, &st); err != nil {
		return s, err
	}
	s.tableReads, s.tableWrites = float64(st.Reads), float64(st.Writes)
	s.wallSeconds = float64(time.Now().UnixNano()) / float64(time.Second)
	return s, nil
}

// addProcess adds the processor time and resident memory of a process.
func (s *sample) addProcess(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Error.Wrap(err)
	}
	cpu, err := parseStat(string(stat))
	if err != nil {
		return err
	}
	s.cpuSeconds += cpu
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Error.Wrap(err)
	}
	var size, resident float64
	if _, err := fmt.Sscan(string(statm), &size, &resident); err != nil {
		return Error.Wrap(err)
	}
	s.memoryBytes += resident * float64(os.Getpagesize())
	return nil
}

// parseStat returns the processor time, user plus system, in seconds from the content of /proc/PID/stat.
func parseStat(stat string) (float64, error) {
	const user, system = 11, 12 // indexes of the fields utime and stime after the process name
	f := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(f) <= system {
		return 0, Error.New("/proc/PID/stat has %d fields after the process name, want at least %d", len(f), system+1)
	}
	sum := 0.0
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseFloat(f[i], 64)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		sum += ticks / ticksPerSecond
	}
	return sum, nil
}

// addMetrics adds the counters that d exports.
func (c *cluster) addMetrics(ctx context.Context, d *daemon, s *sample) error {
	var all map[string]struct {
		Count float64 `json:"count"`
	}
	if err := c.get(ctx, "http://"+d.address+"/v1/metrics", &all); err != nil {
		return err
	}
	for name, m := range all {
		s.counters[name] += m.Count
	}
	return nil
}

func (c *cluster) get(ctx context.Context, url string, out any) error {
	return c.call(ctx, c.http, http.MethodGet, url, nil, out)
}

// call makes one HTTP request and decodes the JSON reply into out, unless out is nil. Any status other than
// 200 and 202 is an error.
func (c *cluster) call(ctx context.Context, h *http.Client, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := ibishttp.Call(ctx, h, method, url, in)
	if err != nil {
		return Error.Wrap(err)
	}
	if r.Status != http.StatusOK && r.Status != http.StatusAccepted {
		return Error.New("%s %s: status %d: %.200s", method, url, r.Status, r.Body)
	}
	if out == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(r.Body, out))
}

// loadAverage returns the machine's load average over the last minute, or "?" if it can't be read.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "?"
	}
	load, _, _ := strings.Cut(string(b), " ")
	return load
}
