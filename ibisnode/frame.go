package ibisnode

import (
	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

// Kind is the operation that a caller requests on a job.
type Kind int

// The kinds of requests.
const (
	Submit Kind = iota + 1
	Cancel
	Status
)

// Request is a caller's request as it is sent to the leader.
type Request struct {
	N    uint64       `cbor:"1,keyasint"` // unique on the link that carries it; set by the sending daemon
	Kind Kind         `cbor:"2,keyasint"`
	ID   ibisjob.ID   `cbor:"3,keyasint"`
	Job  *ibisjob.Job `cbor:"4,keyasint,omitempty"` // with Submit only
}

// Reply answers a Request.
type Reply struct {
	N       uint64           `cbor:"1,keyasint"` // of the Request
	Outcome ibiscell.Outcome `cbor:"2,keyasint"`
	RetryMS int64            `cbor:"3,keyasint,omitempty"` // delay before a retry, in milliseconds, after Rejected
	State   ibisjob.State    `cbor:"4,keyasint,omitempty"`
}

// frame is one message on a link between a daemon and the leader. Any of its parts may be absent.
type frame struct {
	Hello         *hello              `cbor:"1,keyasint,omitempty"`
	Requests      []Request           `cbor:"2,keyasint,omitempty"`
	Replies       []Reply             `cbor:"3,keyasint,omitempty"`
	Advise        []ibiscell.Advise   `cbor:"4,keyasint,omitempty"`
	AdviceResults []adviceResult      `cbor:"5,keyasint,omitempty"`
	Ping          *ping               `cbor:"6,keyasint,omitempty"`
	Pong          *pong               `cbor:"7,keyasint,omitempty"` // key 8 was a whole configuration
	Transfer      *leadershipTransfer `cbor:"9,keyasint,omitempty"`
	Members       []member            `cbor:"10,keyasint,omitempty"` // all linked daemons and the leader, once on each link
	Leader        *leaderRow          `cbor:"11,keyasint,omitempty"` // the leader to link to instead of the sender
	Orders        []orders            `cbor:"12,keyasint,omitempty"` // to a relay
	Results       []orderResult       `cbor:"13,keyasint,omitempty"` // of a relay
	Scout         *scoutOrder         `cbor:"14,keyasint,omitempty"`
	ScoutReports  []scoutReport       `cbor:"15,keyasint,omitempty"`
	MemberChanges []memberChange      `cbor:"16,keyasint,omitempty"` // since Members, in order
	Recovering    bool                `cbor:"17,keyasint,omitempty"` // the sender has acquired leadership and reads the journal
	ConfigParts   []configPart        `cbor:"18,keyasint,omitempty"`
	ConfigAcks    []configAck         `cbor:"19,keyasint,omitempty"`
	Counts        []countsPart        `cbor:"20,keyasint,omitempty"` // with a pong, in order; none: unknown
}

// hello opens a link.
type hello struct {
	Member member `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"` // the least epoch that the receiver must lead with
}

// member describes a daemon to the others.
type member struct {
	Name    string  `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
	Power   float64 `cbor:"3,keyasint"` // CPU work that its VM does per second, in cores
	Started int64   `cbor:"4,keyasint"` // Unix time of its start, in milliseconds

	FailureDomain string `cbor:"5,keyasint,omitempty"`
}

// memberChange is a change of the list of members.
type memberChange struct {
	_       struct{} `cbor:",toarray"`
	Changed []member
	Gone    []string // names
}

// adviceResult is the outcome of one call to the advice service.
type adviceResult struct {
	ID       int64             `cbor:"1,keyasint"`
	Approved []ibiscell.Ticket `cbor:"2,keyasint,omitempty"`
	ValidMS  int64             `cbor:"3,keyasint,omitempty"` // how long the tickets are valid
	OK       bool              `cbor:"4,keyasint,omitempty"` // the call succeeded
}

// ping is a follower's heartbeat to the leader, which answers with a pong.
type ping struct {
	At       ibiscell.Time `cbor:"1,keyasint"`           // when it was sent, on the follower's clock
	Version  int64         `cbor:"2,keyasint"`           // of the follower's configuration
	Draining bool          `cbor:"3,keyasint,omitempty"` // the follower is being stopped
	PongAt   ibiscell.Time `cbor:"4,keyasint,omitempty"` // At of the last pong
}

// pong answers a ping with the leader's status.
type pong struct {
	At          ibiscell.Time `cbor:"1,keyasint"` // of the ping, on the follower's clock
	Version     int64         `cbor:"2,keyasint"` // of the leader's configuration
	ConfigAgeMS int64         `cbor:"3,keyasint"` // since the leader last knew it to be the newest
	CommitAgeMS int64         `cbor:"4,keyasint"` // since the leader's last commit; key 5 was the counts of all queues
	Now         ibiscell.Time `cbor:"6,keyasint"` // when it was sent, on the leader's clock
	CommitMS    int64         `cbor:"7,keyasint"` // average time of the leader's commits

	ReadingConfig bool  `cbor:"8,keyasint,omitempty"` // the leader or its scout is reading the configuration
	JournalBytes  int64 `cbor:"9,keyasint,omitempty"` // which a new leader would read

	ConfigLagMS int64 `cbor:"10,keyasint,omitempty"` // from then until the leader began the read that showed it
}

// leadershipTransfer asks the receiver to acquire leadership from the sender at once.
type leadershipTransfer struct {
	Version int64 `cbor:"1,keyasint"` // of the leader row
	Epoch   int64 `cbor:"2,keyasint"` // of the sender's leadership
}

// merge adds the parts of o to f: lists are appended, any other part replaces an older one.
func (f *frame) merge(o *frame) {
	f.Requests = append(f.Requests, o.Requests...)
	f.Replies = append(f.Replies, o.Replies...)
	f.Advise = append(f.Advise, o.Advise...)
	f.AdviceResults = append(f.AdviceResults, o.AdviceResults...)
	f.Orders = append(f.Orders, o.Orders...)
	f.Results = append(f.Results, o.Results...)
	f.ScoutReports = append(f.ScoutReports, o.ScoutReports...)
	f.MemberChanges = append(f.MemberChanges, o.MemberChanges...)
	f.ConfigParts = append(f.ConfigParts, o.ConfigParts...)
	f.ConfigAcks = append(f.ConfigAcks, o.ConfigAcks...)
	f.Counts = append(f.Counts, o.Counts...)
	if o.Hello != nil {
		f.Hello = o.Hello
	}
	f.Recovering = f.Recovering || o.Recovering
	if o.Scout != nil {
		f.Scout = o.Scout
	}
	if o.Ping != nil {
		f.Ping = o.Ping
	}
	if o.Pong != nil {
		f.Pong = o.Pong
	}
	if o.Members != nil {
		f.Members = o.Members
	}
	if o.Leader != nil {
		f.Leader = o.Leader
	}
	if o.Transfer != nil {
		f.Transfer = o.Transfer
	}
}

// onlyRelayed reports whether f contains nothing but orders to a relay, or their results.
func (f *frame) onlyRelayed() bool {
	return len(f.Orders)+len(f.Results) > 0 && len(f.Requests)+len(f.Replies)+len(f.Advise)+len(f.AdviceResults)+len(f.ScoutReports)+len(f.MemberChanges)+len(f.ConfigParts)+len(f.ConfigAcks)+len(f.Counts) == 0 &&
		f.Hello == nil && f.Ping == nil && f.Pong == nil && f.Transfer == nil && f.Members == nil && f.Leader == nil && f.Scout == nil
}
