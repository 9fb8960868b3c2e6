// Package ibisevacuation keeps the set of failure domains that operators have evacuated: nothing may be started on
// their backend servers. Package ibiscell asks it before each start.
//
// A set is as old as the read of the requests that it was last updated from. A scheduler that starts a task after an
// evacuation was acknowledged is late, so it must also ask whether the set is fresh.
//
// Usage:
//
//	var s ibisevacuation.Set
//	added, withdrawn := s.Update(readAt, []string{"domain-1"})
//	if s.Fresh(now, 3500) && !s.Has(server.FailureDomain) {
//		// start the task
//	}
package ibisevacuation

import "slices"

// Set is a set of evacuated failure domains. Its zero value is empty and has never been read. Times are in
// milliseconds.
type Set struct {
	domains []string // sorted
	asOf    int64
	read    bool
}

// Update replaces the set by the domains that were evacuated at asOf, and returns the differences, sorted. A read that
// began before the last one is dropped, since replies may overtake each other.
func (s *Set) Update(asOf int64, domains []string) (added, withdrawn []string) {
	if s.read && asOf < s.asOf {
		return nil, nil
	}
	next := slices.Clone(domains)
	slices.Sort(next)
	next = slices.Compact(next)
	for _, d := range next {
		if !s.Has(d) {
			added = append(added, d)
		}
	}
	for _, d := range s.domains {
		if _, ok := slices.BinarySearch(next, d); !ok {
			withdrawn = append(withdrawn, d)
		}
	}
	s.domains, s.asOf, s.read = next, asOf, true
	return added, withdrawn
}

// Has reports whether a failure domain is evacuated.
func (s *Set) Has(domain string) bool {
	_, ok := slices.BinarySearch(s.domains, domain)
	return ok
}

// Len returns the number of evacuated failure domains.
func (s *Set) Len() int { return len(s.domains) }

// AsOf returns when the last read of the requests began.
func (s *Set) AsOf() int64 { return s.asOf }

// Fresh reports whether the set has been read within the last maxAgeMS.
func (s *Set) Fresh(now, maxAgeMS int64) bool { return s.read && now-s.asOf <= maxAgeMS }
