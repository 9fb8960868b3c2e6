// Package ibissettings reads the settings file of a daemon: its addresses, its failure domain, the URLs of
// the platform's services, intervals, timeouts and limits. Package ibisdaemon runs a daemon with these
// settings.
//
// The file is one JSON object whose members have the names of the fields of Settings. Unknown members are
// refused, and settings that are absent, zero or empty take their defaults if they have one. All problems are
// reported together, each with its JSON path and the reason.
//
// Usage:
//
//	cfg, err := ibissettings.Load("daemon.json")
//	for _, p := range ibissettings.ProblemsOf(err) {
//		fmt.Println(p) // $.Listen: is missing
//	}
package ibissettings

import (
	"errors"
	"os"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// Problem is one invalid or missing setting.
type Problem struct {
	Path   string `json:"Path"` // JSON path, for example $.Peers[1]
	Reason string `json:"Reason"`
}

// String returns the path and the reason on one line.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// Problems is an error that lists every problem of a settings file.
type Problems []Problem

// Error returns all problems on one line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return strings.Join(lines, "; ")
}

// ProblemsOf returns the problems that err wraps, or nil if there are none.
func ProblemsOf(err error) []Problem {
	p, _ := errors.AsType[Problems](err)
	return p
}

// Settings holds the settings of one daemon. Addresses have the form IP:port. Fields whose names end in MS are
// in milliseconds.
type Settings struct {
	Listen        string   `json:"Listen"`                  // HTTP for callers and operators
	PeerListen    string   `json:"PeerListen"`              // gRPC for other daemons
	Advertise     string   `json:"Advertise,omitempty"`     // address of PeerListen for peers; default PeerListen
	AdvertiseHTTP string   `json:"AdvertiseHTTP,omitempty"` // address of Listen for callers; default Listen
	FailureDomain string   `json:"FailureDomain"`
	Region        string   `json:"Region,omitempty"` // default "default"
	Table         string   `json:"Table"`            // URL of the table service
	VMList        string   `json:"VMList"`           // URL of the platform's list of VMs
	Peers         []string `json:"Peers,omitempty"`  // seeds: peers to contact at start

	Shards          int    `json:"Shards,omitempty"`          // number of shards, equal on all daemons; default 128
	OperatorKeyHash string `json:"OperatorKeyHash,omitempty"` // SHA-256 in hexadecimal of the bootstrap operator's key

	HeartbeatMS   int64 `json:"HeartbeatMS,omitempty"`   // interval of heartbeats to a peer; default 250
	LeaseMS       int64 `json:"LeaseMS,omitempty"`       // duration of the lease of a task; default 10000
	RevokeAfterMS int64 `json:"RevokeAfterMS,omitempty"` // silence before a peer is revoked; default 3000
	CutOffMS      int64 `json:"CutOffMS,omitempty"`      // time without contact before API keys are refused; default 3000
	ConfigPollMS  int64 `json:"ConfigPollMS,omitempty"`  // interval of reading the configuration; default 1000
	CommitMS      int64 `json:"CommitMS,omitempty"`      // shortest interval of journal commits; default 25
	DrainMS       int64 `json:"DrainMS,omitempty"`       // timeout of a graceful shutdown; default 30000

	StoreWritesPerSecond int    `json:"StoreWritesPerSecond,omitempty"` // to the table service, by all daemons; default 280
	MaxBodyBytes         int64  `json:"MaxBodyBytes,omitempty"`         // of a caller's request; default 1 MiB, at most 8 MiB
	MaxQueued            int    `json:"MaxQueued,omitempty"`            // requests in progress at one daemon; default 20000
	DuplicateWindowMS    int64  `json:"DuplicateWindowMS,omitempty"`    // age above which a request ID is refused; default 900000
	LogLevel             string `json:"LogLevel,omitempty"`             // debug, info, warn, error or fatal; default info
}

// Load reads a settings file, sets defaults and checks the result. Unless the file could not be read, ProblemsOf
// lists the problems in its error.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(b)
}

// Parse decodes settings, replaces zero values by defaults and checks the result. Problems of decoding and of
// checking are reported together; ProblemsOf lists them.
func Parse(b []byte) (Settings, error) {
	s, problems := decode(b)
	if len(problems) == 1 && problems[0].Path == root {
		return Settings{}, Error.Wrap(problems)
	}
	s = s.WithDefaults()
	undecoded := make(map[string]bool) // paths not to be reported again for their zero value
	for _, p := range problems {
		undecoded[p.Path] = true
	}
	for _, p := range s.problems() {
		if !undecoded[p.Path] {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return Settings{}, Error.Wrap(problems)
	}
	return s, nil
}

// Check returns one error that lists every problem of the settings.
func (s Settings) Check() error {
	if p := s.problems(); len(p) > 0 {
		return Error.Wrap(p)
	}
	return nil
}

// Heartbeat returns the interval of heartbeats to a peer.
func (s Settings) Heartbeat() time.Duration { return ms(s.HeartbeatMS) }

// Lease returns the duration of the lease of a task.
func (s Settings) Lease() time.Duration { return ms(s.LeaseMS) }

// RevokeAfter returns the silence after which a peer is revoked and replaced.
func (s Settings) RevokeAfter() time.Duration { return ms(s.RevokeAfterMS) }

// CutOff returns the time without contact with the table service or half of the daemons after which the daemon
// refuses work with an API key, because it can no longer tell whether the key was withdrawn.
func (s Settings) CutOff() time.Duration { return ms(s.CutOffMS) }

// ConfigPoll returns the interval of reading the configuration.
func (s Settings) ConfigPoll() time.Duration { return ms(s.ConfigPollMS) }

// Commit returns the shortest interval of journal commits.
func (s Settings) Commit() time.Duration { return ms(s.CommitMS) }

// Drain returns the timeout of a graceful shutdown.
func (s Settings) Drain() time.Duration { return ms(s.DrainMS) }

// DuplicateWindow returns the age above which a request ID is refused.
func (s Settings) DuplicateWindow() time.Duration { return ms(s.DuplicateWindowMS) }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
