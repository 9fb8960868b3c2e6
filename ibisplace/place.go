package ibisplace

import (
	"math"
)

// maxFits bounds the servers that fit and are scored in one decision.
const maxFits = 16

// search is one decision while it looks for the best server.
type search struct {
	ask    *Ask
	policy Policy
	best   *node
	score  float64
	fits   int
}

// Place chooses a server for one task; it does not change what is in use.
func (f *Fleet) Place(a Ask) (name string, ok bool) {
	f.ask = a // scorers see the copy in f, so that no decision allocates
	defer func() { f.ask = Ask{} }()
	s := search{ask: &f.ask, policy: f.policy(a.Class), score: math.Inf(-1)}
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

// placeAnywhere looks at all failure domains together, bucket by bucket.
func (f *Fleet) placeAnywhere(s *search) {
	for i := range bucketCount {
		for _, d := range f.domains {
			if s.look(&d.buckets[s.at(i)]) {
				return
			}
		}
		if s.best != nil {
			return
		}
	}
}

// placeSpread looks at failure domains in the order of the tasks that the service has there.
func (f *Fleet) placeSpread(s *search) {
	for floor := 0; s.best == nil; {
		next := math.MaxInt
		for _, d := range f.domains {
			n := s.ask.Spread[d.name]
			if n == floor {
				s.lookDomain(d)
			} else if n > floor {
				next = min(next, n)
			}
		}
		if next == math.MaxInt {
			return
		}
		floor = next
	}
}

// lookDomain searches one failure domain, with a bound of its own.
func (s *search) lookDomain(d *domain) {
	s.fits = 0
	for i := range bucketCount {
		if s.look(&d.buckets[s.at(i)]) || s.fits > 0 {
			return
		}
	}
}

// at maps the i-th step of the search to a bucket.
func (s *search) at(i int) int {
	if s.policy.Order == FullestFirst {
		return bucketCount - 1 - i
	}
	return i
}

// look scores the servers of a bucket that fit and reports whether enough have been seen.
func (s *search) look(b *bucket) bool {
	if len(b.nodes) == 0 || !s.ask.Resources.FitsIn(b.most) {
		return false
	}
	before := s.fits
	for _, n := range b.nodes {
		if !s.ask.Resources.FitsIn(n.free) || s.ask.Avoid[n.Name] {
			continue
		}
		s.consider(n)
		if s.fits >= maxFits {
			return true
		}
	}
	if s.fits == before {
		b.tighten()
	}
	return false
}

func (s *search) consider(n *node) {
	s.fits++
	score := s.policy.Scorer.Score(Candidate{Server: &n.Server, Free: n.free}, s.ask)
	if s.best == nil || score > s.score {
		s.best, s.score = n, score
	}
}
