package ibissettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
)

const (
	defaultRegion   = "default"
	defaultLogLevel = "info"
	// minBeats is the least number of heartbeats that must fit into RevokeAfterMS.
	minBeats = 4
)

var (
	nameForm  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashForm  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	logLevels = []string{"debug", "info", "warn", "error", "fatal"}
)

// number is one numeric setting with its default and bounds.
type number struct {
	name            string
	value           int64
	set             func(int64)
	byDefault       int64
	lowest, highest int64
}

func (s *Settings) numbers() []number {
	wide := func(name string, p *int64, byDefault, lowest, highest int64) number {
		return number{name, *p, func(n int64) { *p = n }, byDefault, lowest, highest}
	}
	plain := func(name string, p *int, byDefault, lowest, highest int64) number {
		return number{name, int64(*p), func(n int64) { *p = int(n) }, byDefault, lowest, highest}
	}
	return []number{
		plain("Shards", &s.Shards, 128, 1, 65536),
		wide("HeartbeatMS", &s.HeartbeatMS, 250, 10, 10_000),
		wide("LeaseMS", &s.LeaseMS, 10_000, 100, 600_000),
		wide("RevokeAfterMS", &s.RevokeAfterMS, 3000, 50, 300_000),
		wide("CutOffMS", &s.CutOffMS, 3000, 50, 60_000),
		wide("ConfigPollMS", &s.ConfigPollMS, 1000, 10, 5000),
		wide("CommitMS", &s.CommitMS, 25, 1, 1000),
		wide("DrainMS", &s.DrainMS, 30_000, 1, 3_600_000),
		plain("StoreWritesPerSecond", &s.StoreWritesPerSecond, 280, 1, 1_000_000),
		wide("MaxBodyBytes", &s.MaxBodyBytes, 1<<20, 1<<10, 8<<20),
		plain("MaxQueued", &s.MaxQueued, 20_000, 1, 10_000_000),
		wide("DuplicateWindowMS", &s.DuplicateWindowMS, 900_000, 1000, 24*3600*1000),
	}
}

// WithDefaults is s with defaults in place of zero values.
func (s Settings) WithDefaults() Settings {
	for _, n := range s.numbers() {
		if n.value == 0 {
			n.set(n.byDefault)
		}
	}
	for _, f := range []struct {
		field     *string
		byDefault string
	}{
		{&s.Advertise, s.PeerListen},
		{&s.AdvertiseHTTP, s.Listen},
		{&s.Region, defaultRegion},
		{&s.LogLevel, defaultLogLevel},
	} {
		if *f.field == "" {
			*f.field = f.byDefault
		}
	}
	return s
}

// collector gathers problems.
type collector Problems

func (c *collector) add(name, format string, args ...any) {
	*c = append(*c, Problem{Path: root + "." + name, Reason: fmt.Sprintf(format, args...)})
}

// problems lists every problem in the order of the fields' groups.
func (s Settings) problems() Problems {
	var c collector
	c.addresses(s)
	c.names(s)
	for _, n := range s.numbers() {
		if n.value < n.lowest || n.value > n.highest {
			c.add(n.name, "%d is outside %d to %d", n.value, n.lowest, n.highest)
		}
	}
	c.relations(s)
	return Problems(c)
}

func (c *collector) addresses(s Settings) {
	c.address("Listen", s.Listen, false)
	c.address("PeerListen", s.PeerListen, false)
	if s.Advertise != "" {
		c.address("Advertise", s.Advertise, true)
	}
	if s.AdvertiseHTTP != "" {
		c.address("AdvertiseHTTP", s.AdvertiseHTTP, true)
	}
	if s.Listen != "" && s.Listen == s.PeerListen {
		c.add("PeerListen", "is the same as Listen")
	}
	for i, p := range s.Peers {
		c.address(fmt.Sprintf("Peers[%d]", i), p, true)
	}
	c.service("Table", s.Table)
	c.service("VMList", s.VMList)
}

// address checks an IP number with a port; one that is dialled must name a single machine.
func (c *collector) address(name, value string, dialled bool) {
	if value == "" {
		c.add(name, "is missing")
		return
	}
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.add(name, "%q is not an IP number with a port, such as 10.0.0.7:8080", value)
	case a.Port() == 0:
		c.add(name, "%q has port 0", value)
	case dialled && a.Addr().IsUnspecified():
		c.add(name, "%q names no single machine that others could dial", value)
	}
}

// service checks the URL of one of the platform's services.
func (c *collector) service(name, value string) {
	if value == "" {
		c.add(name, "is missing")
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add(name, "%q is not a URL such as http://10.0.0.9:7000", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(name, "%q has the host %q, which is not an IP number", value, u.Hostname())
	}
}

func (c *collector) names(s Settings) {
	if s.FailureDomain == "" {
		c.add("FailureDomain", "is missing")
	} else if !nameForm.MatchString(s.FailureDomain) {
		c.add("FailureDomain", "%q is not 1 to 63 letters, digits, dots, underscores and hyphens", s.FailureDomain)
	}
	if s.Region != "" && !nameForm.MatchString(s.Region) {
		c.add("Region", "%q is not 1 to 63 letters, digits, dots, underscores and hyphens", s.Region)
	}
	if s.OperatorKeyHash != "" && !hashForm.MatchString(s.OperatorKeyHash) {
		c.add("OperatorKeyHash", "is not a SHA-256 of 64 lower-case hexadecimal digits")
	}
	for _, l := range logLevels {
		if s.LogLevel == l {
			return
		}
	}
	c.add("LogLevel", "%q is not one of %s", s.LogLevel, strings.Join(logLevels, ", "))
}

// relations checks settings that bound each other.
func (c *collector) relations(s Settings) {
	if s.RevokeAfterMS < minBeats*s.HeartbeatMS {
		c.add("RevokeAfterMS", "%d is below %d times HeartbeatMS (%d)", s.RevokeAfterMS, minBeats, s.HeartbeatMS)
	}
	if s.LeaseMS <= s.RevokeAfterMS {
		c.add("LeaseMS", "%d is not above RevokeAfterMS (%d), so leases would end before a peer takes over", s.LeaseMS, s.RevokeAfterMS)
	}
	if s.CutOffMS <= s.ConfigPollMS {
		c.add("CutOffMS", "%d is not above ConfigPollMS (%d)", s.CutOffMS, s.ConfigPollMS)
	}
}
