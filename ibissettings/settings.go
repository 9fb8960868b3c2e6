// Package ibissettings reads the settings file of one daemon: its addresses, its failure domain, where
// the platform's services are, and its time limits.
//
// The file is one JSON object whose members are named as the fields of Settings. Unknown members are
// refused, numbers that are absent or zero take their defaults, and every fault is reported at once
// with its JSON path and the reason.
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

// Problem is one fault of a settings file.
type Problem struct {
	Path   string `json:"Path"` // JSON path, for example $.Peers[1]
	Reason string `json:"Reason"`
}

// String is the problem on one line.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// Problems is every fault of a settings file, usable as an error.
type Problems []Problem

// Error is all problems on one line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return strings.Join(lines, "; ")
}

// ProblemsOf lists the problems in an error of this package, or nil when it carries none.
func ProblemsOf(err error) []Problem {
	p, _ := errors.AsType[Problems](err)
	return p
}

// Settings is what one daemon learns from its settings file. Addresses are IP numbers with a port.
type Settings struct {
	Listen        string   `json:"Listen"`                  // HTTP for callers and operators
	PeerListen    string   `json:"PeerListen"`              // gRPC for other daemons
	Advertise     string   `json:"Advertise,omitempty"`     // where peers dial PeerListen; default PeerListen
	AdvertiseHTTP string   `json:"AdvertiseHTTP,omitempty"` // where callers reach Listen; default Listen
	FailureDomain string   `json:"FailureDomain"`
	Region        string   `json:"Region,omitempty"` // default "default"
	Table         string   `json:"Table"`            // URL of the table service
	VMList        string   `json:"VMList"`           // URL of the platform's list of VMs
	Peers         []string `json:"Peers,omitempty"`  // first known peers

	Shards          int    `json:"Shards,omitempty"`          // of requests, the same on every daemon; default 128
	OperatorKeyHash string `json:"OperatorKeyHash,omitempty"` // SHA-256 in hexadecimal of the first operator's key

	HeartbeatMS   int64 `json:"HeartbeatMS,omitempty"`   // between heartbeats to a peer; default 250
	LeaseMS       int64 `json:"LeaseMS,omitempty"`       // of a task; default 10000
	RevokeAfterMS int64 `json:"RevokeAfterMS,omitempty"` // of silence until a peer is replaced; default 3000
	CutOffMS      int64 `json:"CutOffMS,omitempty"`      // without news until keyed work is refused; default 3000
	ConfigPollMS  int64 `json:"ConfigPollMS,omitempty"`  // between reads of the configuration; default 1000
	CommitMS      int64 `json:"CommitMS,omitempty"`      // between commits of the journal; default 25
	DrainMS       int64 `json:"DrainMS,omitempty"`       // longest graceful shutdown; default 30000

	StoreWritesPerSecond int    `json:"StoreWritesPerSecond,omitempty"` // of all daemons together; default 280
	MaxBodyBytes         int64  `json:"MaxBodyBytes,omitempty"`         // of a caller's request; default 1 MiB, at most 8 MiB
	MaxQueued            int    `json:"MaxQueued,omitempty"`            // requests waiting in one daemon; default 20000
	DuplicateWindowMS    int64  `json:"DuplicateWindowMS,omitempty"`    // age at which a request ID is refused; default 900000
	LogLevel             string `json:"LogLevel,omitempty"`             // debug, info, warn, error or fatal; default info
}

// Load reads, completes and checks a settings file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(b)
}

// Parse decodes settings, puts defaults in place of zero values and checks the whole. All problems of
// decoding and of checking are reported together.
func Parse(b []byte) (Settings, error) {
	s, problems := decode(b)
	if len(problems) == 1 && problems[0].Path == root {
		return Settings{}, Error.Wrap(problems)
	}
	s = s.WithDefaults()
	undecoded := make(map[string]bool)
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

// Check reports every problem of the settings at once.
func (s Settings) Check() error {
	if p := s.problems(); len(p) > 0 {
		return Error.Wrap(p)
	}
	return nil
}

// Heartbeat is the time between heartbeats to a peer.
func (s Settings) Heartbeat() time.Duration { return ms(s.HeartbeatMS) }

// Lease is the length of a task's lease.
func (s Settings) Lease() time.Duration { return ms(s.LeaseMS) }

// RevokeAfter is the silence after which a peer is revoked and replaced.
func (s Settings) RevokeAfter() time.Duration { return ms(s.RevokeAfterMS) }

// CutOff is the time without word from the store or any peer after which keyed work is refused.
func (s Settings) CutOff() time.Duration { return ms(s.CutOffMS) }

// ConfigPoll is the time between reads of the configuration.
func (s Settings) ConfigPoll() time.Duration { return ms(s.ConfigPollMS) }

// Commit is the time between commits of the journal.
func (s Settings) Commit() time.Duration { return ms(s.CommitMS) }

// Drain is the longest time of a graceful shutdown.
func (s Settings) Drain() time.Duration { return ms(s.DrainMS) }

// DuplicateWindow is the age at which a request ID is refused.
func (s Settings) DuplicateWindow() time.Duration { return ms(s.DuplicateWindowMS) }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
