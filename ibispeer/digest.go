package ibispeer

import (
	"time"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisincarnation"
	"ibiscrank/ibiswork"
)

// TeamUse is a team's resource use on the backend servers of one daemon.
type TeamUse struct {
	Team   string             `json:"Team"`
	Used   ibiswork.Resources `json:"Used"`
	Queued int                `json:"Queued,omitempty"`
}

// Load summarizes the backend servers that a daemon owns.
type Load struct {
	Servers         int                `json:"Servers"`
	Capacity        ibiswork.Resources `json:"Capacity"` // of the servers that accept new work
	Used            ibiswork.Resources `json:"Used"`
	LargestFree     ibiswork.Resources `json:"Largest"` // most free on any server, per resource
	LargestCapacity ibiswork.Resources `json:"Biggest"` // largest capacity of any server, per resource
	// LargestEvacuated is the largest capacity of any server in an evacuated failure domain, per resource.
	LargestEvacuated ibiswork.Resources `json:"BiggestEvacuated,omitzero"`
	Queued           int                `json:"Queued"`
	Teams            []TeamUse          `json:"Teams,omitempty"`
}

// Digest summarizes the state of one daemon. A digest with a higher Seq replaces one with a lower Seq.
type Digest struct {
	Row           ibisincarnation.Row `json:"Row"`
	Seq           int64               `json:"Seq"`
	State         string              `json:"State"` // of the incarnation's state chart
	ConfigVersion int64               `json:"ConfigVersion"`
	StoreHealthy  bool                `json:"StoreHealthy"`
	Load          Load                `json:"Load"`
	// WithoutTeams means that Load.Teams is omitted and the receiver keeps the teams that it has.
	WithoutTeams bool `json:"WithoutTeams,omitempty"`
}

// Liveness reports that a daemon has made the digest with this Seq, without the digest itself.
type Liveness struct {
	ID  string `json:"ID"`
	Seq int64  `json:"Seq"`
}

func (d Digest) withoutTeams() Digest {
	d.Load.Teams, d.WithoutTeams = nil, true
	return d
}

// Gossip is a heartbeat: the sender's digest, followed by digests and liveness of other daemons, and the
// revocations and denied keys that are to reach every daemon.
type Gossip struct {
	Digests  []Digest             `json:"Digests"`
	Liveness []Liveness           `json:"Pulses,omitempty"`
	Revoked  []string             `json:"Revoked,omitempty"`
	Denied   []ibisconfig.KeyHash `json:"Denied,omitempty"`
}

// Member is this daemon's record of one daemon. Its times are local.
type Member struct {
	Digest           Digest
	LastContact      time.Time // last contact, direct or reported by another daemon
	DirectContact    time.Time // last heartbeat exchanged with it
	TableHeartbeatAt time.Time // when its heartbeat row in the table was last seen to change
	heartbeatVersion int64     // version of that row
	latestSeq        int64     // highest Seq received from any daemon
	fullSentAt       time.Time // last full heartbeat sent to it
}

// recordSeq updates LastContact if seq is higher than all before.
func (m *Member) recordSeq(seq int64, now time.Time) {
	if seq > m.latestSeq {
		m.latestSeq, m.LastContact = seq, now
	}
}

// ID returns the incarnation ID of the member.
func (m Member) ID() string { return m.Digest.Row.ID }

// View is an immutable snapshot of the known daemons.
type View struct {
	Self    string
	Members []Member // sorted by ID, including this daemon
	Revoked map[string]bool
	// TableReadAt is the local time of the last complete read of the rows in the table.
	TableReadAt time.Time
	Populated   bool // members have been read from the table or received from a peer
}

// Find returns the member with that ID.
func (v *View) Find(id string) (Member, bool) {
	for _, m := range v.Members {
		if m.ID() == id {
			return m, true
		}
	}
	return Member{}, false
}

// IDs lists the members that may be assigned shards and backend servers: all that are neither draining nor
// ended.
func (v *View) IDs() []string {
	ids := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Digest.State != "Draining" && m.Digest.State != "Ended" {
			ids = append(ids, m.ID())
		}
	}
	return ids
}
