package ibisnode

import (
	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

// Kind is what a caller wants of a job.
type Kind int

// The kinds of requests.
const (
	Submit Kind = iota + 1
	Cancel
	Status
)

// Request is a caller's request on its way to the leader. N is unique to the link that carries it.
type Request struct {
	N    uint64       `cbor:"1,keyasint"`
	Kind Kind         `cbor:"2,keyasint"`
	ID   ibisjob.ID   `cbor:"3,keyasint"`
	Job  *ibisjob.Job `cbor:"4,keyasint,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	N       uint64           `cbor:"1,keyasint"`
	Outcome ibiscell.Outcome `cbor:"2,keyasint"`
	RetryMS int64            `cbor:"3,keyasint,omitempty"`
	State   ibisjob.State    `cbor:"4,keyasint,omitempty"`
}

// frame is one message on a link between a daemon and the leader.
type frame struct {
	Hello    *hello            `cbor:"1,keyasint,omitempty"`
	Requests []Request         `cbor:"2,keyasint,omitempty"`
	Replies  []Reply           `cbor:"3,keyasint,omitempty"`
	Advise   []ibiscell.Advise `cbor:"4,keyasint,omitempty"`
	Advised  []advised         `cbor:"5,keyasint,omitempty"`
	Ping     *ping             `cbor:"6,keyasint,omitempty"`
	Pong     *pong             `cbor:"7,keyasint,omitempty"`
	Config   *ibisjob.Config   `cbor:"8,keyasint,omitempty"`
	Succeed  *succeed          `cbor:"9,keyasint,omitempty"`
	Members  []member          `cbor:"10,keyasint,omitempty"` // all linked daemons and the leader
	Leader   *leaderRow        `cbor:"11,keyasint,omitempty"` // where to go instead
}

// hello opens a link.
type hello struct {
	Member member `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"` // of the leader that is meant
}

// member is a daemon as the others know it.
type member struct {
	Name    string  `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
	Power   float64 `cbor:"3,keyasint"` // work that its VM does in a second, in cores
	Started int64   `cbor:"4,keyasint"` // Unix time of its start, in milliseconds
}

// advised is the outcome of one call to the advice service.
type advised struct {
	ID       int64             `cbor:"1,keyasint"`
	Approved []ibiscell.Ticket `cbor:"2,keyasint,omitempty"`
	ValidMS  int64             `cbor:"3,keyasint,omitempty"`
	OK       bool              `cbor:"4,keyasint,omitempty"`
}

// ping asks the leader for its news. At is the sender's clock.
type ping struct {
	At      ibiscell.Time `cbor:"1,keyasint"`
	Version int64         `cbor:"2,keyasint"` // of the sender's configuration
	Leaving bool          `cbor:"3,keyasint,omitempty"`
}

// pong answers a ping.
type pong struct {
	At          ibiscell.Time  `cbor:"1,keyasint"` // of the ping
	Version     int64          `cbor:"2,keyasint"` // of the leader's configuration
	VouchAgeMS  int64          `cbor:"3,keyasint"` // since the leader began the read that last confirmed it
	CommitAgeMS int64          `cbor:"4,keyasint"` // since the leader's last commit
	Waiting     map[string]int `cbor:"5,keyasint"` // nil: not known
}

// succeed asks the receiver to take the lead at once.
type succeed struct {
	Version int64 `cbor:"1,keyasint"` // of the leader's row
	Epoch   int64 `cbor:"2,keyasint"`
}

// merge adds the parts of o to f; parts that are news replace older ones.
func (f *frame) merge(o *frame) {
	f.Requests = append(f.Requests, o.Requests...)
	f.Replies = append(f.Replies, o.Replies...)
	f.Advise = append(f.Advise, o.Advise...)
	f.Advised = append(f.Advised, o.Advised...)
	if o.Hello != nil {
		f.Hello = o.Hello
	}
	if o.Ping != nil {
		f.Ping = o.Ping
	}
	if o.Pong != nil {
		f.Pong = o.Pong
	}
	if o.Config != nil {
		f.Config = o.Config
	}
	if o.Members != nil {
		f.Members = o.Members
	}
	if o.Leader != nil {
		f.Leader = o.Leader
	}
	if o.Succeed != nil {
		f.Succeed = o.Succeed
	}
}
