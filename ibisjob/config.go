package ibisjob

import (
	"strings"

	"ibiscrank/ibiswork"
)

// Config is one version of the settings made by operators: queues, teams and services. It is immutable.
type Config struct {
	Version  int64     `json:"Version"`
	Queues   []Queue   `json:"Queues"`
	Teams    []Team    `json:"Teams"`
	Services []Service `json:"Services"`
	Limits   Limits    `json:"Limits"`
}

// Queue accepts jobs under a host and path prefix. Their tasks run on the backend servers of its service. The latency
// objective of a job is SlackFactor times its critical path, plus ObjectiveMS.
type Queue struct {
	Name        string  `json:"Name"`
	Host        string  `json:"Host"`
	PathPrefix  string  `json:"PathPrefix"`
	Service     string  `json:"Service"`
	Public      bool    `json:"Public,omitempty"` // accepts requests without a key
	Priority    int     `json:"Priority"`         // 0 is the highest
	MaxAttempts int     `json:"MaxAttempts"`      // failures of a task or gang that fail its job; 0: no limit
	SlackFactor float64 `json:"SlackFactor"`      // multiple of the critical path
	ObjectiveMS int64   `json:"ObjectiveMS"`      // constant part of the latency objective
	TimeoutMS   int64   `json:"TimeoutMS"`        // timeout of a caller's request
	Advice      *Advice `json:"Advice,omitempty"` // nil: any backend server of the service may run any step
}

// Advice describes the cost of a call to the advice service and the validity of its tickets, in
// milliseconds.
type Advice struct {
	DecisionMS  float64 `json:"DecisionMS"`  // fixed cost of a call
	PerServerMS float64 `json:"PerServerMS"` // cost per backend server named in the call
	ValidMS     int64   `json:"ValidMS"`     // validity of a ticket
}

// CallMS returns the expected duration, in milliseconds, of a call that names n backend servers.
func (a *Advice) CallMS(n int) int64 { return int64(a.DecisionMS + a.PerServerMS*float64(n) + 0.5) }

// Team is a client account with its keys, its weight and its upper limit.
type Team struct {
	Name       string             `json:"Name"`
	Keys       []string           `json:"Keys"`
	Weight     float64            `json:"Weight"`     // relative share of scarce capacity
	UpperLimit ibiswork.Resources `json:"UpperLimit"` // 0: the resource is not limited
}

// Service is a pool of backend servers.
type Service struct {
	Name           string `json:"Name"`
	AdmissionCheck bool   `json:"AdmissionCheck,omitempty"` // its servers refuse tasks that exceed their capacity
	Standby        bool   `json:"Standby,omitempty"`        // its VMs are switched off
	HealthPath     string `json:"HealthPath,omitempty"`
}

// Limits bounds callers' requests. Zero values stand for the defaults of the frontend.
type Limits struct {
	MaxHeaderBytes  int   `json:"MaxHeaderBytes,omitempty"`
	MaxBodyBytes    int   `json:"MaxBodyBytes,omitempty"`
	HeaderTimeoutMS int64 `json:"HeaderTimeoutMS,omitempty"`
	IdleTimeoutMS   int64 `json:"IdleTimeoutMS,omitempty"`
}

// Find returns the queue of host with the longest matching path prefix, or nil.
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
