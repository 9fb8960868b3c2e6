package ibispeer

import (
	"time"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisincarnation"
	"ibiscrank/ibiswork"
)

// TeamUse is what one daemon's backend servers run for a team.
type TeamUse struct {
	Team   string             `json:"Team"`
	Used   ibiswork.Resources `json:"Used"`
	Queued int                `json:"Queued,omitempty"`
}

// Load is what a daemon says of the backend servers that it owns.
type Load struct {
	Servers  int                `json:"Servers"`
	Capacity ibiswork.Resources `json:"Capacity"` // of servers open to new work
	Used     ibiswork.Resources `json:"Used"`
	Largest  ibiswork.Resources `json:"Largest"` // free on the emptiest server, each amount by itself
	Biggest  ibiswork.Resources `json:"Biggest"` // capacity of the largest server, each amount by itself
	Queued   int                `json:"Queued"`
	Teams    []TeamUse          `json:"Teams,omitempty"`
}

// Digest is the short state of one daemon; a higher Seq replaces a lower one.
type Digest struct {
	Row           ibisincarnation.Row `json:"Row"`
	Seq           int64               `json:"Seq"`
	State         string              `json:"State"` // of the incarnation chart
	ConfigVersion int64               `json:"ConfigVersion"`
	StoreHealthy  bool                `json:"StoreHealthy"`
	Load          Load                `json:"Load"`
	// WithoutTeams says that Load.Teams was left out, so that the receiver keeps those that it has.
	WithoutTeams bool `json:"WithoutTeams,omitempty"`
}

// Pulse says that a daemon lived when it made the digest with this Seq.
type Pulse struct {
	ID  string `json:"ID"`
	Seq int64  `json:"Seq"`
}

func (d Digest) withoutTeams() Digest {
	d.Load.Teams, d.WithoutTeams = nil, true
	return d
}

// Gossip is a heartbeat: the sender's digest, what it knows of some others, and what must reach every
// daemon soon.
type Gossip struct {
	Digests []Digest             `json:"Digests"`
	Pulses  []Pulse              `json:"Pulses,omitempty"`
	Revoked []string             `json:"Revoked,omitempty"`
	Denied  []ibisconfig.KeyHash `json:"Denied,omitempty"`
}

// Member is one daemon as this one knows it.
type Member struct {
	Digest  Digest
	Heard   time.Time // local time of the last news of it, direct or through others
	Direct  time.Time // local time of the last heartbeat exchanged with it
	BeatAt  time.Time // local time at which its row in the store was last seen to change
	beatSeq int64
	pulse   int64     // highest Seq that anybody has told of
	toldAt  time.Time // local time at which it was last sent a full heartbeat
}

// alive takes note of a sign of life when it is newer than those before.
func (m *Member) alive(seq int64, now time.Time) {
	if seq > m.pulse {
		m.pulse, m.Heard = seq, now
	}
}

// ID is the incarnation of the member.
func (m Member) ID() string { return m.Digest.Row.ID }

// View is an immutable picture of the daemons.
type View struct {
	Self    string
	Members []Member // in order of their IDs, this daemon included
	Revoked map[string]bool
	// StoreAt is the local time of the last complete read of the store's rows.
	StoreAt time.Time
	Known   bool // rows have been read from the store or learned from a peer
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

// IDs lists the members that take part in the division of work: those that are joining or serving.
func (v *View) IDs() []string {
	ids := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Digest.State != "Draining" && m.Digest.State != "Ended" {
			ids = append(ids, m.ID())
		}
	}
	return ids
}
