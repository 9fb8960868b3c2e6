// Package ibisplace decides on which backend server of one owner a task is started.
//
// A Fleet keeps, for each failure domain, the servers in buckets by load, and for each rack the sum of
// what is free. A decision looks at buckets in the order that suits the class of work and stops after a
// bounded number of servers that fit, so that its cost depends neither on the number of running tasks
// nor, in the usual case, on the number of servers. The package does no input or output, starts no
// goroutine and reads no clock; one goroutine may use a Fleet at a time.
//
// Usage:
//
//	var f ibisplace.Fleet
//	f.Put(ibisplace.Server{Name: "w1", FailureDomain: "d1", Rack: "r1", Capacity: c})
//	if name, ok := f.Place(ibisplace.Ask{Class: ibiswork.Batch, Resources: r}); ok {
//		f.Use(name, r)
//	}
package ibisplace

import (
	"slices"

	"ibiscrank/ibiswork"
)

// Server is one backend server as its owner knows it.
type Server struct {
	Name          string             `json:"Name"`
	FailureDomain string             `json:"FailureDomain"`
	Rack          string             `json:"Rack"`
	Capacity      ibiswork.Resources `json:"Capacity"`
	Used          ibiswork.Resources `json:"Used"`
	Closed        bool               `json:"Closed,omitempty"` // leaving or set aside: no new work
}

// Free is what is left of the server's capacity, below zero in what is overused.
func (s Server) Free() ibiswork.Resources { return s.Capacity.Sub(s.Used) }

// Load is the largest fraction of any kind of capacity that is in use.
func (s Server) Load() float64 { return s.Used.Dominant(s.Capacity) }

// Ask is what a decision has to satisfy.
type Ask struct {
	Team      string
	Class     ibiswork.Class
	Resources ibiswork.Resources // of one task
	Spread    map[string]int     // tasks of the same service in each failure domain
	Racks     map[string]int     // tasks of the same service in each rack
	Avoid     map[string]bool    // servers that must not be chosen
}

// Fleet is the servers of one owner. The zero value is an empty fleet that places by DefaultPolicies.
type Fleet struct {
	// Policies replaces the policy of some classes.
	Policies map[ibiswork.Class]Policy

	servers  map[string]*node
	domains  []*domain // in order of name
	racks    []*rack
	shapes   map[ibiswork.Resources]int // servers of each capacity
	capacity ibiswork.Resources         // of the open servers
	used     ibiswork.Resources         // on the open servers
	scratch  gangScratch
	ask      Ask // of the decision under way
}

// node is a server with its place in the index.
type node struct {
	Server
	free   ibiswork.Resources
	domain *domain
	rack   *rack
	bucket int // in the domain, -1 while closed
	pos    int // in the bucket
}

// Put adds a server or replaces the one of that name.
func (f *Fleet) Put(s Server) {
	f.Remove(s.Name)
	if f.servers == nil {
		f.servers = make(map[string]*node)
		f.shapes = make(map[ibiswork.Resources]int)
	}
	n := &node{Server: s, free: s.Free(), bucket: -1}
	f.servers[s.Name] = n
	f.shapes[s.Capacity]++
	n.domain = f.domainOf(s.FailureDomain)
	n.rack = f.rackOf(n.domain, s.Rack)
	n.domain.members++
	n.rack.add(n)
	if !s.Closed {
		f.capacity = f.capacity.Add(s.Capacity)
		f.used = f.used.Add(s.Used)
		n.domain.insert(n)
	}
}

// Remove drops a server; an unknown name changes nothing.
func (f *Fleet) Remove(name string) {
	n, ok := f.servers[name]
	if !ok {
		return
	}
	delete(f.servers, name)
	if f.shapes[n.Capacity]--; f.shapes[n.Capacity] == 0 {
		delete(f.shapes, n.Capacity)
	}
	if !n.Closed {
		f.capacity = f.capacity.Sub(n.Capacity)
		f.used = f.used.Sub(n.Used)
		n.domain.remove(n)
	}
	n.rack.drop(n)
	if len(n.rack.nodes) == 0 {
		f.racks = slices.DeleteFunc(f.racks, func(r *rack) bool { return r == n.rack })
		delete(n.domain.racks, n.Rack)
	}
	if n.domain.members--; n.domain.members == 0 {
		f.domains = slices.DeleteFunc(f.domains, func(d *domain) bool { return d == n.domain })
	}
}

// Use changes what is in use on a server by delta; an unknown name changes nothing.
func (f *Fleet) Use(name string, delta ibiswork.Resources) {
	n, ok := f.servers[name]
	if !ok {
		return
	}
	before := n.spare()
	n.Used = n.Used.Add(delta)
	n.free = n.free.Sub(delta)
	if n.Closed {
		return
	}
	f.used = f.used.Add(delta)
	n.rack.free = n.rack.free.Sub(before).Add(n.spare())
	n.domain.update(n)
}

// Server is the server of that name.
func (f *Fleet) Server(name string) (Server, bool) {
	if n, ok := f.servers[name]; ok {
		return n.Server, true
	}
	return Server{}, false
}

// Len is the number of servers, closed ones too.
func (f *Fleet) Len() int { return len(f.servers) }

// Capacity is the sum over the open servers.
func (f *Fleet) Capacity() ibiswork.Resources { return f.capacity }

// Used is what is in use on the open servers.
func (f *Fleet) Used() ibiswork.Resources { return f.used }

// EverFits reports whether a task of that size would fit on some server if the server were empty and
// open. Closed servers count, because they may come back.
func (f *Fleet) EverFits(r ibiswork.Resources) bool {
	for shape := range f.shapes {
		if r.FitsIn(shape) {
			return true
		}
	}
	return false
}

func (f *Fleet) domainOf(name string) *domain {
	i, ok := slices.BinarySearchFunc(f.domains, name, func(d *domain, name string) int {
		return compareNames(d.name, name)
	})
	if !ok {
		f.domains = slices.Insert(f.domains, i, &domain{name: name, racks: make(map[string]*rack)})
	}
	return f.domains[i]
}

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
