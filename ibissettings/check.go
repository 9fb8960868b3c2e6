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
	// minHeartbeats is the smallest number of heartbeat intervals that RevokeAfterMS must cover.
	minHeartbeats = 4
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	logLevels   = []string{"debug", "info", "warn", "error", "fatal"}
)

// numericSetting is one numeric setting with its default and inclusive bounds.
type numericSetting struct {
	name               string
	value              int64
	set                func(int64)
	defaultValue       int64
	minValue, maxValue int64
}

func (s *Settings) numericSettings() []numericSetting {
	int64Setting := func(name string, p *int64, defaultValue, minValue, maxValue int64) numericSetting {
		return numericSetting{name, *p, func(n int64) { *p = n }, defaultValue, minValue, maxValue}
	}
	intSetting := func(name string, p *int, defaultValue, minValue, maxValue int64) numericSetting {
		return numericSetting{name, int64(*p), func(n int64) { *p = int(n) }, defaultValue, minValue, maxValue}
	}
	return []numericSetting{
		intSetting("Shards", &s.Shards, 128, 1, 65536),
		int64Setting("HeartbeatMS", &s.HeartbeatMS, 250, 10, 10_000),
		int64Setting("LeaseMS", &s.LeaseMS, 10_000, 100, 600_000),
		int64Setting("RevokeAfterMS", &s.RevokeAfterMS, 3000, 50, 300_000),
		int64Setting("CutOffMS", &s.CutOffMS, 3000, 50, 60_000),
		int64Setting("ConfigPollMS", &s.ConfigPollMS, 1000, 10, 5000),
		int64Setting("CommitMS", &s.CommitMS, 25, 1, 1000),
		int64Setting("DrainMS", &s.DrainMS, 30_000, 1, 3_600_000),
		intSetting("StoreWritesPerSecond", &s.StoreWritesPerSecond, 280, 1, 1_000_000),
		int64Setting("MaxBodyBytes", &s.MaxBodyBytes, 1<<20, 1<<10, 8<<20),
		intSetting("MaxQueued", &s.MaxQueued, 20_000, 1, 10_000_000),
		int64Setting("DuplicateWindowMS", &s.DuplicateWindowMS, 900_000, 1000, 24*3600*1000),
	}
}

// WithDefaults returns a copy of s with defaults in place of zero values.
func (s Settings) WithDefaults() Settings {
	for _, n := range s.numericSettings() {
		if n.value == 0 {
			n.set(n.defaultValue)
		}
	}
	for _, f := range []struct {
		field        *string
		defaultValue string
	}{
		{&s.Advertise, s.PeerListen},
		{&s.AdvertiseHTTP, s.Listen},
		{&s.Region, defaultRegion},
		{&s.LogLevel, defaultLogLevel},
	} {
		if *f.field == "" {
			*f.field = f.defaultValue
		}
	}
	return s
}

// collector accumulates problems.
type collector Problems

func (c *collector) add(name, format string, args ...any) {
	*c = append(*c, Problem{Path: root + "." + name, Reason: fmt.Sprintf(format, args...)})
}

// problems returns every problem of s: addresses and URLs, then names, bounds of numbers and relations.
func (s Settings) problems() Problems {
	var c collector
	c.checkAddresses(s)
	c.checkNames(s)
	for _, n := range s.numericSettings() {
		if n.value < n.minValue || n.value > n.maxValue {
			c.add(n.name, "%d is outside %d to %d", n.value, n.minValue, n.maxValue)
		}
	}
	c.checkRelations(s)
	return Problems(c)
}

func (c *collector) checkAddresses(s Settings) {
	c.checkAddress("Listen", s.Listen, false)
	c.checkAddress("PeerListen", s.PeerListen, false)
	if s.Advertise != "" {
		c.checkAddress("Advertise", s.Advertise, true)
	}
	if s.AdvertiseHTTP != "" {
		c.checkAddress("AdvertiseHTTP", s.AdvertiseHTTP, true)
	}
	if s.Listen != "" && s.Listen == s.PeerListen {
		c.add("PeerListen", "is the same as Listen")
	}
	for i, p := range s.Peers {
		c.checkAddress(fmt.Sprintf("Peers[%d]", i), p, true)
	}
	c.checkURL("Table", s.Table)
	c.checkURL("VMList", s.VMList)
}

// checkAddress checks an IP address with a port. An address that others dial must not be unspecified.
func (c *collector) checkAddress(name, value string, dialed bool) {
	if value == "" {
		c.add(name, "is missing")
		return
	}
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.add(name, "%q is not an IP address with a port, such as 10.0.0.7:8080", value)
	case a.Port() == 0:
		c.add(name, "%q has port 0", value)
	case dialed && a.Addr().IsUnspecified():
		c.add(name, "%q has the unspecified IP address, which others cannot dial", value)
	}
}

// checkURL checks the URL of a service of the platform.
func (c *collector) checkURL(name, value string) {
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
		c.add(name, "%q has the host %q, which is not an IP address", value, u.Hostname())
	}
}

func (c *collector) checkNames(s Settings) {
	if s.FailureDomain == "" {
		c.add("FailureDomain", "is missing")
	} else if !namePattern.MatchString(s.FailureDomain) {
		c.add("FailureDomain", "%q is not 1 to 63 letters, digits, dots, underscores and hyphens", s.FailureDomain)
	}
	if s.Region != "" && !namePattern.MatchString(s.Region) {
		c.add("Region", "%q is not 1 to 63 letters, digits, dots, underscores and hyphens", s.Region)
	}
	if s.OperatorKeyHash != "" && !hashPattern.MatchString(s.OperatorKeyHash) {
		c.add("OperatorKeyHash", "is not a SHA-256 of 64 lower-case hexadecimal digits")
	}
	for _, l := range logLevels {
		if s.LogLevel == l {
			return
		}
	}
	c.add("LogLevel", "%q is not one of %s", s.LogLevel, strings.Join(logLevels, ", "))
}

// checkRelations checks settings that constrain each other.
func (c *collector) checkRelations(s Settings) {
	if s.RevokeAfterMS < minHeartbeats*s.HeartbeatMS {
		c.add("RevokeAfterMS", "%d is below %d times HeartbeatMS (%d)", s.RevokeAfterMS, minHeartbeats, s.HeartbeatMS)
	}
	if s.LeaseMS <= s.RevokeAfterMS {
		c.add("LeaseMS", "%d is not above RevokeAfterMS (%d), so leases would expire before a peer takes over", s.LeaseMS, s.RevokeAfterMS)
	}
	if s.CutOffMS <= s.ConfigPollMS {
		c.add("CutOffMS", "%d is not above ConfigPollMS (%d)", s.CutOffMS, s.ConfigPollMS)
	}
}
