package ibisplace

import (
	"ibiscrank/ibiswork"
)

// bucketCount is the number of load buckets in a failure domain.
const bucketCount = 32

// domain indexes the open servers of one failure domain.
type domain struct {
	name        string
	serverCount int // including closed servers
	racks       map[string]*rack
	buckets     [bucketCount]bucket // by ascending load

	// Valid only during PlaceGang.
	gangFitCount int // tasks of the gang that fit in the domain
	gangRacks    int // racks needed for the whole gang, or all candidate racks if it does not fit
}

// bucket holds the servers of a domain with similar load.
type bucket struct {
	nodes []*node
	// maxFree is, for each resource, an upper bound on the free amount of any server in the bucket.
	maxFree ibiswork.Resources
}

// rack holds the servers of one rack.
type rack struct {
	name   string
	domain *domain
	nodes  []*node
	free   ibiswork.Resources // sum over open servers; an overused resource of a server counts as zero
}

// bucketFor returns the index of the bucket for the load of n.
func bucketFor(n *node) int {
	return min(max(int(n.Load()*bucketCount), 0), bucketCount-1)
}

func (d *domain) insert(n *node) {
	n.bucket = bucketFor(n)
	b := &d.buckets[n.bucket]
	if len(b.nodes) == 0 {
		b.maxFree = n.free
	} else {
		b.maxFree = b.maxFree.Max(n.free)
	}
	n.posInBucket = len(b.nodes)
	b.nodes = append(b.nodes, n)
}

func (d *domain) remove(n *node) {
	b := &d.buckets[n.bucket]
	last := len(b.nodes) - 1
	b.nodes[n.posInBucket] = b.nodes[last]
	b.nodes[n.posInBucket].posInBucket = n.posInBucket
	b.nodes[last] = nil
	b.nodes = b.nodes[:last]
	n.bucket = -1
}

// update moves n to the bucket of its current load.
func (d *domain) update(n *node) {
	if n.bucket == bucketFor(n) {
		b := &d.buckets[n.bucket]
		b.maxFree = b.maxFree.Max(n.free)
		return
	}
	d.remove(n)
	d.insert(n)
}

// recomputeMaxFree makes maxFree exact. Updates only raise it, so it becomes too high over time.
func (b *bucket) recomputeMaxFree() {
	if len(b.nodes) == 0 {
		b.maxFree = ibiswork.Resources{}
		return
	}
	b.maxFree = b.nodes[0].free
	for _, n := range b.nodes[1:] {
		b.maxFree = b.maxFree.Max(n.free)
	}
}

// nonNegativeFree returns the free resources of n, with overused ones as zero.
func (n *node) nonNegativeFree() ibiswork.Resources { return n.free.Max(ibiswork.Resources{}) }

func (r *rack) addNode(n *node) {
	r.nodes = append(r.nodes, n)
	if !n.Closed {
		r.free = r.free.Add(n.nonNegativeFree())
	}
}

func (r *rack) removeNode(n *node) {
	for i, m := range r.nodes {
		if m == n {
			r.nodes = append(r.nodes[:i], r.nodes[i+1:]...)
			break
		}
	}
	if !n.Closed {
		r.free = r.free.Sub(n.nonNegativeFree())
	}
}
