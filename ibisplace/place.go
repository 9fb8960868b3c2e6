package ibisplace

import (
	"math"
)

// maxCandidates bounds the fitting servers that are scored in one decision, or in one failure domain when
// the policy spreads tasks over domains.
const maxCandidates = 16

// search is the state of one placement decision.
type search struct {
	request    *Request
	policy     Policy
	best       *node
	score      float64
	candidates int // servers scored so far
}

// Place chooses a server for one task and reports whether one fits. It does not reserve the resources;
// the caller does so with AddUsage.
func (f *Fleet) Place(a Request) (name string, ok bool) {
	f.request = a // scorers get a pointer to this copy, which avoids an allocation per decision
	defer func() { f.request = Request{} }()
	s := search{request: &f.request, policy: f.policy(a.Class), score: math.Inf(-1)}
	if s.policy.Spread {
		f.placeSpread(&s)
	} else {
		f.placeAnywhere(&s)
	}
	if s.best == nil {
		return "", false
	}
	return s.best.Name, true
}

// placeAnywhere scans the buckets of equal load of all failure domains together, in the order of the
// policy, and stops after the first load level at which a server fits.
func (f *Fleet) placeAnywhere(s *search) {
	for i := range bucketCount {
		for _, d := range f.domains {
			if s.scanBucket(&d.buckets[s.bucketAt(i)]) {
				return
			}
		}
		if s.best != nil {
			return
		}
	}
}

// placeSpread scans failure domains by ascending number of tasks that the service has there and stops
// after the first number for which a server fits.
func (f *Fleet) placeSpread(s *search) {
	for tasks := 0; s.best == nil; {
		nextTasks := math.MaxInt
		for _, d := range f.domains {
			n := s.request.Spread[d.name]
			if n == tasks {
				s.scanDomain(d)
			} else if n > tasks {
				nextTasks = min(nextTasks, n)
			}
		}
		if nextTasks == math.MaxInt {
			return
		}
		tasks = nextTasks
	}
}

// scanDomain searches one failure domain. The bound on candidates applies to each domain separately.
func (s *search) scanDomain(d *domain) {
	s.candidates = 0
	for i := range bucketCount {
		if s.scanBucket(&d.buckets[s.bucketAt(i)]) || s.candidates > 0 {
			return
		}
	}
}

// bucketAt maps the i-th step of the search to the index of a bucket.
func (s *search) bucketAt(i int) int {
	if s.policy.Order == FullestFirst {
		return bucketCount - 1 - i
	}
	return i
}

// scanBucket scores the servers of a bucket that fit and reports whether maxCandidates was reached.
func (s *search) scanBucket(b *bucket) bool {
	if len(b.nodes) == 0 || !s.request.Resources.FitsIn(b.maxFree) {
		return false
	}
	before := s.candidates
	for _, n := range b.nodes {
		if !s.request.Resources.FitsIn(n.free) || s.request.Avoid[n.Name] {
			continue
		}
		s.consider(n)
		if s.candidates >= maxCandidates {
			return true
		}
	}
	if s.candidates == before {
		b.recomputeMaxFree() // the bound was too loose to rule out this bucket
	}
	return false
}

// consider scores n and keeps it if it is the best candidate so far.
func (s *search) consider(n *node) {
	s.candidates++
	score := s.policy.Scorer.Score(Candidate{Server: &n.Server, Free: n.free}, s.request)
	if s.best == nil || score > s.score {
		s.best, s.score = n, score
	}
}
