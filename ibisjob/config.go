package ibisjob

import (
	"strings"

	"ibiscrank/ibiswork"
)

// Config is one version of what operators set: queues, teams and services. It is immutable.
type Config struct {
	Version  int64     `json:"Version"`
	Queues   []Queue   `json:"Queues"`
	Teams    []Team    `json:"Teams"`
	Services []Service `json:"Services"`
	Limits   Limits    `json:"Limits"`
}

// Queue takes jobs under a host and a path prefix, and names the service whose backend servers run them.
type Queue struct {
	Name        string  `json:"Name"`
	Host        string  `json:"Host"`
	PathPrefix  string  `json:"PathPrefix"`
	Service     string  `json:"Service"`
	Public      bool    `json:"Public,omitempty"` // needs no key
	Priority    int     `json:"Priority"`         // 0 comes first
	MaxAttempts int     `json:"MaxAttempts"`      // failed runs of a task after which its job has failed
	SlackFactor float64 `json:"SlackFactor"`      // of the critical path, in the latency objective
	ObjectiveMS int64   `json:"ObjectiveMS"`      // added to the latency objective
	TimeoutMS   int64   `json:"TimeoutMS"`        // for one call of a caller
	Advice      *Advice `json:"Advice,omitempty"` // nil: any backend server of the service may run any step
}

// Advice says what a call to the advice service costs, and how long its tickets are valid.
type Advice struct {
	DecisionMS  float64 `json:"DecisionMS"`  // for each call
	PerServerMS float64 `json:"PerServerMS"` // for each backend server that is named
	ValidMS     int64   `json:"ValidMS"`     // of a ticket
}

// CallMS is how long a call that names n backend servers takes.
func (a *Advice) CallMS(n int) int64 { return int64(a.DecisionMS + a.PerServerMS*float64(n) + 0.5) }

// Team is a client account with its keys, its share and its upper limit.
type Team struct {
	Name       string             `json:"Name"`
	Keys       []string           `json:"Keys"`
	Weight     float64            `json:"Weight"`     // share when all is full
	UpperLimit ibiswork.Resources `json:"UpperLimit"` // 0: no limit of that resource
}

// Service is a pool of backend servers.
type Service struct {
	Name           string `json:"Name"`
	AdmissionCheck bool   `json:"AdmissionCheck,omitempty"` // its servers reject what does not fit
	Standby        bool   `json:"Standby,omitempty"`        // its VMs are off
	HealthPath     string `json:"HealthPath,omitempty"`
}

// Limits bounds callers' requests. Zero values leave the defaults of the frontend.
type Limits struct {
	MaxHeaderBytes  int   `json:"MaxHeaderBytes,omitempty"`
	MaxBodyBytes    int   `json:"MaxBodyBytes,omitempty"`
	HeaderTimeoutMS int64 `json:"HeaderTimeoutMS,omitempty"`
	IdleTimeoutMS   int64 `json:"IdleTimeoutMS,omitempty"`
}

// Find returns the queue with the longest prefix of path under host, or nil.
func (c *Config) Find(host, path string) *Queue {
	var best *Queue
	for n := range c.Queues {
		q := &c.Queues[n]
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}
