package ibisplace

// Services counts the running tasks of each service by failure domain and by rack, so that a decision
// need not look at all tasks. The zero value is empty.
type Services struct {
	counts map[serviceKey]*serviceCount
}

type serviceKey struct{ team, kind string }

type serviceCount struct {
	tasks          int
	domains, racks map[string]int
}

// Add notes delta more running tasks of a service on a server; a negative delta notes ended ones.
func (s *Services) Add(team, kind string, on Server, delta int) {
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
	change(c.domains, on.FailureDomain, delta)
	change(c.racks, on.Rack, delta)
	if c.tasks <= 0 {
		delete(s.counts, k)
	}
}

// Of is the tasks of a service in each failure domain and rack, for Ask.Spread and Ask.Racks. The maps
// must not be changed, and hold until the next Add.
func (s *Services) Of(team, kind string) (domains, racks map[string]int) {
	if c, ok := s.counts[serviceKey{team, kind}]; ok {
		return c.domains, c.racks
	}
	return nil, nil
}

func change(m map[string]int, key string, delta int) {
	if m[key] += delta; m[key] <= 0 {
		delete(m, key)
	}
}
