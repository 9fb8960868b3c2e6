package ibisadmin

import (
	"cmp"
	"slices"
	"time"

	"ibiscrank/ibiswork"
)

// Overview is the state of the fleet as the daemon that serves the request sees it.
type Overview struct {
	At      time.Time       `json:"At"`
	Daemons []Daemon        `json:"Daemons"`
	Store   StoreHealth     `json:"Store"`
	Servers []BackendServer `json:"Servers"`
	Teams   []TeamLoad      `json:"Teams"`
	Alerts  []Alert         `json:"Alerts"`
}

// Daemon is the state of one daemon.
type Daemon struct {
	Incarnation   string `json:"Incarnation"`
	Address       string `json:"Address"`
	FailureDomain string `json:"FailureDomain"`
	State         string `json:"State"`
	ConfigVersion int64  `json:"ConfigVersion"`
	// ContactAgeMS is the time since the last contact with the daemon, by the serving daemon or by one of its
	// peers.
	ContactAgeMS int64 `json:"NewsAgeMS"`
	Answers      bool  `json:"Answers"`
}

// label is the name of the daemon on pages and in alerts.
func (d Daemon) label() string { return d.Address + " (" + d.FailureDomain + ")" }

// StoreHealth is the state of the store, the platform's table service, as the serving daemon sees it.
type StoreHealth struct {
	Reachable       bool    `json:"Reachable"`
	AwayMS          int64   `json:"AwayMS,omitempty"`          // since the last read of the configuration; zero if reachable
	LatencyMS       float64 `json:"LatencyMS,omitempty"`       // of recent calls; zero if unknown
	WritesPerSecond float64 `json:"WritesPerSecond,omitempty"` // of the serving daemon; zero if unknown
}

// ServerState is the state of a backend server.
type ServerState string

// The states of a backend server.
const (
	ServerLive        ServerState = "Live"        // reachable, or without an owner to tell whether it is
	ServerLeaving     ServerState = "Leaving"     // reachable, and the platform lists its VM as leaving
	ServerUnreachable ServerState = "Unreachable" // does not answer its owner
	ServerGone        ServerState = "Gone"        // the platform lists its VM as gone
)

// BackendServer is the state and load of one backend server.
type BackendServer struct {
	Name          string             `json:"Name"`
	FailureDomain string             `json:"FailureDomain"`
	Rack          string             `json:"Rack"`
	Owner         string             `json:"Owner"` // incarnation of the owning daemon, empty if none
	Free          ibiswork.Resources `json:"Free"`  // Capacity minus Used
	Used          ibiswork.Resources `json:"Used"`
	Capacity      ibiswork.Resources `json:"Capacity"`
	Running       int                `json:"Running"` // tasks
	State         ServerState        `json:"State"`
	// SetAside is whether the server gets no new work, Reason why.
	SetAside   bool   `json:"SetAside,omitempty"`
	Reason     string `json:"Reason,omitempty"`
	ByOperator bool   `json:"ByOperator,omitempty"` // set aside by an operator; otherwise by a daemon after task failures
}

// TeamLoad is the usage and the queue of one team in the whole fleet.
type TeamLoad struct {
	Name          string             `json:"Name"`
	Running       ibiswork.Resources `json:"Running"`
	RunningTasks  int                `json:"RunningTasks"`
	Share         float64            `json:"Share"`         // fraction of the fleet in use, by the dominant resource, 0 to 1
	DeservedShare float64            `json:"DeservedShare"` // fraction of the fleet that it would have if the fleet were full
	UpperLimit    ibiswork.Resources `json:"UpperLimit"`
	Queued        int                `json:"Queued"`
	OldestMS      int64              `json:"OldestMS,omitempty"` // age of the oldest queued request
}

// limitUse returns the running fraction of the upper limit, by the dominant resource.
func (t TeamLoad) limitUse() float64 { return t.Running.Dominant(t.UpperLimit) }

// sorted returns o with daemons ordered by failure domain and incarnation, and servers and teams by name. The
// lists of o are not modified.
func (o Overview) sorted() Overview {
	o.Daemons = slices.SortedFunc(slices.Values(o.Daemons), func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	o.Servers = slices.SortedFunc(slices.Values(o.Servers), func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	o.Teams = slices.SortedFunc(slices.Values(o.Teams), func(a, b TeamLoad) int { return cmp.Compare(a.Name, b.Name) })
	return o
}
