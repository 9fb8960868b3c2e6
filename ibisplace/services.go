package ibisplace

// Services counts the running tasks of each service by failure domain and by rack, so that a decision
// does not have to scan all tasks. The zero value is empty.
type Services struct {
	counts map[serviceKey]*serviceCount
}

type serviceKey struct{ team, kind string }

type serviceCount struct {
	tasks          int
	domains, racks map[string]int
}

// Add adds delta to the number of running tasks that the service has on a server; delta is negative for
// tasks that ended.
func (s *Services) Add(team, kind string, server Server, delta int) {
	k := serviceKey{team, kind}
	c, ok := s.counts[k]
	if !ok {
		if s.counts == nil {
			s.counts = make(map[serviceKey]*serviceCount)
		}
		c = &serviceCount{domains: make(map[string]int), racks: make(map[string]int)}
		s.counts[k] = c
	}
	c.tasks += delta
	addCount(c.domains, server.FailureDomain, delta)
	addCount(c.racks, server.Rack, delta)
	if c.tasks <= 0 {
		delete(s.counts, k)
	}
}

// Counts returns the number of tasks of a service in each failure domain and rack, for Request.Spread and
// Request.Racks. The caller must not modify the maps; they are valid until the next call of Add.
func (s *Services) Counts(team, kind string) (domains, racks map[string]int) {
	if c, ok := s.counts[serviceKey{team, kind}]; ok {
		return c.domains, c.racks
	}
	return nil, nil
}

// addCount adds delta to the count of key and deletes the key when none is left.
func addCount(m map[string]int, key string, delta int) {
	if m[key] += delta; m[key] <= 0 {
		delete(m, key)
	}
}
