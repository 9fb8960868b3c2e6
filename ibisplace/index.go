package ibisplace

import (
	"ibiscrank/ibiswork"
)

// bucketCount is the number of buckets by load in a failure domain.
const bucketCount = 32

// domain is the index over the open servers of one failure domain.
type domain struct {
	name    string
	members int // servers, closed ones too
	racks   map[string]*rack
	buckets [bucketCount]bucket // the emptiest servers first

	gangRoom  int // tasks that fit, while a gang is decided
	gangRacks int // racks that hold all of its tasks, or all racks with room
}

// bucket is a set of servers with a similar load.
type bucket struct {
	nodes []*node
	// most is no less than the free amount of each kind on any server in the bucket.
	most ibiswork.Resources
}

// rack is the servers of one rack; free sums over the open ones and leaves out what is below zero.
type rack struct {
	name   string
	domain *domain
	nodes  []*node
	free   ibiswork.Resources
}

func bucketFor(n *node) int {
	return min(max(int(n.Load()*bucketCount), 0), bucketCount-1)
}

func (d *domain) insert(n *node) {
	n.bucket = bucketFor(n)
	b := &d.buckets[n.bucket]
	if len(b.nodes) == 0 {
		b.most = n.free
	} else {
		b.most = b.most.Max(n.free)
	}
	n.pos = len(b.nodes)
	b.nodes = append(b.nodes, n)
}

func (d *domain) remove(n *node) {
	b := &d.buckets[n.bucket]
	last := len(b.nodes) - 1
	b.nodes[n.pos] = b.nodes[last]
	b.nodes[n.pos].pos = n.pos
	b.nodes[last] = nil
	b.nodes = b.nodes[:last]
	n.bucket = -1
}

// update moves n to the bucket of its present load.
func (d *domain) update(n *node) {
	if n.bucket == bucketFor(n) {
		b := &d.buckets[n.bucket]
		b.most = b.most.Max(n.free)
		return
	}
	d.remove(n)
	d.insert(n)
}

// tighten makes most exact.
func (b *bucket) tighten() {
	if len(b.nodes) == 0 {
		b.most = ibiswork.Resources{}
		return
	}
	b.most = b.nodes[0].free
	for _, n := range b.nodes[1:] {
		b.most = b.most.Max(n.free)
	}
}

// spare is what is free on n, with nothing below zero.
func (n *node) spare() ibiswork.Resources { return n.free.Max(ibiswork.Resources{}) }

func (r *rack) add(n *node) {
	r.nodes = append(r.nodes, n)
	if !n.Closed {
		r.free = r.free.Add(n.spare())
	}
}

func (r *rack) drop(n *node) {
	for i, m := range r.nodes {
		if m == n {
			r.nodes = append(r.nodes[:i], r.nodes[i+1:]...)
			break
		}
	}
	if !n.Closed {
		r.free = r.free.Sub(n.spare())
	}
}
