// Package ibisplace decides on which backend server a task is started. Package ibisowner calls it for the
// tasks that it places.
//
// A Fleet holds the servers of one owner, the scheduler instance that manages them. For each failure
// domain it keeps the servers in buckets by load, and for each rack the sum of free resources. A decision
// scans buckets in the order that suits the class of work and stops after a bounded number of servers that
// fit, so its cost does not depend on the number of running tasks nor, usually, on the number of servers.
//
// The owner closes a server that must get no new work, for example while it is leaving the fleet or is set
// aside after failures (see ibisaside).
//
// The package does no I/O, starts no goroutine and reads no clock. A Fleet is not safe for concurrent use.
//
// Usage:
//
//	var f ibisplace.Fleet
//	f.Put(ibisplace.Server{Name: "w1", FailureDomain: "d1", Rack: "r1", Capacity: c})
//	if name, ok := f.Place(ibisplace.Request{Class: ibiswork.Batch, Resources: r}); ok {
//		f.AddUsage(name, r)
//	}
package ibisplace

import (
	"slices"

	"ibiscrank/ibiswork"
)

// Server describes a backend server and the resources in use on it, as known to its owner.
type Server struct {
	Name          string             `json:"Name"`
	FailureDomain string             `json:"FailureDomain"`
	Rack          string             `json:"Rack"`
	Capacity      ibiswork.Resources `json:"Capacity"`
	Used          ibiswork.Resources `json:"Used"`
	Closed        bool               `json:"Closed,omitempty"` // gets no new work, see the package comment
}

// Free returns the unused capacity, which is negative for overused resources.
func (s Server) Free() ibiswork.Resources { return s.Capacity.Sub(s.Used) }

// Load returns the largest used fraction of any resource.
func (s Server) Load() float64 { return s.Used.Dominant(s.Capacity) }

// Request describes the task or gang to place.
type Request struct {
	Team      string
	Class     ibiswork.Class
	Resources ibiswork.Resources // needed by one task
	Spread    map[string]int     // running tasks of the same service by failure domain
	Racks     map[string]int     // running tasks of the same service by rack
	Avoid     map[string]bool    // servers that must not be chosen
}

// Fleet holds the servers of one owner. The zero value is an empty fleet that uses DefaultPolicies.
type Fleet struct {
	// Policies overrides DefaultPolicies for the classes it contains.
	Policies map[ibiswork.Class]Policy

	servers           map[string]*node
	domains           []*domain // sorted by name
	racks             []*rack
	serversByCapacity map[ibiswork.Resources]int // number of servers of each capacity, closed ones too
	capacity          ibiswork.Resources         // of the open servers
	used              ibiswork.Resources         // on the open servers
	scratch           gangScratch
	request           Request // argument of the Place call in progress
}

// node is a server with its position in the index.
type node struct {
	Server
	free        ibiswork.Resources
	domain      *domain
	rack        *rack
	bucket      int // index in domain.buckets, -1 while closed
	posInBucket int // index in bucket.nodes
}

// Put adds a server or replaces the one with the same name.
func (f *Fleet) Put(s Server) {
	f.Remove(s.Name)
	if f.servers == nil {
		f.servers = make(map[string]*node)
		f.serversByCapacity = make(map[ibiswork.Resources]int)
	}
	n := &node{Server: s, free: s.Free(), bucket: -1}
	f.servers[s.Name] = n
	f.serversByCapacity[s.Capacity]++
	n.domain = f.domainOf(s.FailureDomain)
	n.rack = f.rackOf(n.domain, s.Rack)
	n.domain.serverCount++
	n.rack.addNode(n)
	if !s.Closed {
		f.capacity = f.capacity.Add(s.Capacity)
		f.used = f.used.Add(s.Used)
		n.domain.insert(n)
	}
}

// Remove removes a server; an unknown name is ignored.
func (f *Fleet) Remove(name string) {
	n, ok := f.servers[name]
	if !ok {
		return
	}
	delete(f.servers, name)
	if f.serversByCapacity[n.Capacity]--; f.serversByCapacity[n.Capacity] == 0 {
		delete(f.serversByCapacity, n.Capacity)
	}
	if !n.Closed {
		f.capacity = f.capacity.Sub(n.Capacity)
		f.used = f.used.Sub(n.Used)
		n.domain.remove(n)
	}
	n.rack.removeNode(n)
	if len(n.rack.nodes) == 0 {
		f.racks = slices.DeleteFunc(f.racks, func(r *rack) bool { return r == n.rack })
		delete(n.domain.racks, n.Rack)
	}
	if n.domain.serverCount--; n.domain.serverCount == 0 {
		f.domains = slices.DeleteFunc(f.domains, func(d *domain) bool { return d == n.domain })
	}
}

// AddUsage adds delta, which may be negative, to the resources in use on a server; an unknown name is
// ignored.
func (f *Fleet) AddUsage(name string, delta ibiswork.Resources) {
	n, ok := f.servers[name]
	if !ok {
		return
	}
	before := n.nonNegativeFree()
	n.Used = n.Used.Add(delta)
	n.free = n.free.Sub(delta)
	if n.Closed {
		return
	}
	f.used = f.used.Add(delta)
	n.rack.free = n.rack.free.Sub(before).Add(n.nonNegativeFree())
	n.domain.update(n)
}

// Server returns the server of that name and whether it exists.
func (f *Fleet) Server(name string) (Server, bool) {
	if n, ok := f.servers[name]; ok {
		return n.Server, true
	}
	return Server{}, false
}

// Len returns the number of servers, including closed ones.
func (f *Fleet) Len() int { return len(f.servers) }

// Capacity returns the total capacity of the open servers.
func (f *Fleet) Capacity() ibiswork.Resources { return f.capacity }

// Used returns the resources in use on the open servers.
func (f *Fleet) Used() ibiswork.Resources { return f.used }

// EverFits reports whether a task of that size would fit on some server if the server were empty and
// open. Closed servers count because they may be reopened.
func (f *Fleet) EverFits(r ibiswork.Resources) bool {
	for capacity := range f.serversByCapacity {
		if r.FitsIn(capacity) {
			return true
		}
	}
	return false
}

// domainOf returns the failure domain of that name and creates it if needed.
func (f *Fleet) domainOf(name string) *domain {
	i, ok := slices.BinarySearchFunc(f.domains, name, func(d *domain, name string) int {
		return compareNames(d.name, name)
	})
	if !ok {
		f.domains = slices.Insert(f.domains, i, &domain{name: name, racks: make(map[string]*rack)})
	}
	return f.domains[i]
}

// rackOf returns the rack of that name in d and creates it if needed.
func (f *Fleet) rackOf(d *domain, name string) *rack {
	r, ok := d.racks[name]
	if !ok {
		r = &rack{name: name, domain: d}
		d.racks[name] = r
		f.racks = append(f.racks, r)
	}
	return r
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
