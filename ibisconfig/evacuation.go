package ibisconfig

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// MaxEvacuations is the largest number of failure domains that are evacuated at once.
const MaxEvacuations = 256

// Evacuation is a failure domain whose backend servers get no new tasks, by request of an operator. What runs there
// goes on.
type Evacuation struct {
	FailureDomain string    `json:"FailureDomain"`
	RequestedBy   string    `json:"RequestedBy"` // operator
	RequestedAt   time.Time `json:"RequestedAt"` // in whole seconds
	Version       int64     `json:"Version"`     // of the configuration that the request made
}

// Check returns an error if a field of the evacuation is malformed.
func (e Evacuation) Check() error {
	switch {
	case !serverPattern.MatchString(e.FailureDomain):
		return Error.New("evacuation FailureDomain: %q is not a valid name of a failure domain", e.FailureDomain)
	case !namePattern.MatchString(e.RequestedBy):
		return Error.New("evacuation of %s: RequestedBy: %q is not a valid name of an operator", e.FailureDomain, e.RequestedBy)
	case e.RequestedAt.IsZero():
		return Error.New("evacuation of %s: RequestedAt is missing", e.FailureDomain)
	case e.Version <= 0:
		return Error.New("evacuation of %s: Version: %d is not above zero", e.FailureDomain, e.Version)
	}
	return nil
}

// Evacuate requests the evacuation of a failure domain. A request for a domain that is evacuated already is accepted
// and leaves the earlier request as it is.
type Evacuate struct {
	FailureDomain string `json:"FailureDomain"`
}

// WithdrawEvacuation ends the evacuation of a failure domain.
type WithdrawEvacuation struct {
	FailureDomain string `json:"FailureDomain"`
}

// checkEvacuatedDomain returns an Invalid error if a change names no valid failure domain.
func checkEvacuatedDomain(action, domain string) error {
	if !serverPattern.MatchString(domain) {
		return Invalid.New("%s.FailureDomain: %q is not a valid name of a failure domain", action, domain)
	}
	return nil
}

// EvacuatedDomains returns the names of the evacuated failure domains, sorted.
func (s *Snapshot) EvacuatedDomains() []string { return slices.Sorted(maps.Keys(s.Evacuations)) }

// EvacuationVersion returns the version that requested the evacuation of a failure domain, or zero if it is not
// evacuated.
func (s *Snapshot) EvacuationVersion(domain string) int64 { return s.Evacuations[domain].Version }

func (s *Snapshot) planEvacuate(c Change, version int64) (edit, error) {
	domain := c.Evacuate.FailureDomain
	e := edit{action: "Evacuate", key: evacuationPrefix + domain}
	if err := s.checkBasedOn(e.key, c.BasedOn); err != nil {
		return e, err
	}
	if old, ok := s.Evacuations[domain]; ok {
		e.value, e.before, e.after = old, old, old
		return e, nil
	}
	if len(s.Evacuations) >= MaxEvacuations {
		return e, Invalid.New("%d failure domains are already evacuated, the upper limit", MaxEvacuations)
	}
	// Whole seconds, since daemons exchange times among themselves with that precision.
	v := Evacuation{FailureDomain: domain, RequestedBy: c.Operator, RequestedAt: c.At.UTC().Truncate(time.Second), Version: version}
	if err := v.Check(); err != nil {
		return e, Invalid.Wrap(err)
	}
	e.value, e.after = v, v
	return e, nil
}

func (s *Snapshot) planWithdrawEvacuation(c Change) (edit, error) {
	domain := c.WithdrawEvacuation.FailureDomain
	e := edit{action: "WithdrawEvacuation", key: evacuationPrefix + domain}
	if err := s.checkBasedOn(e.key, c.BasedOn); err != nil {
		return e, err
	}
	old, ok := s.Evacuations[domain]
	if !ok {
		evacuated := "none"
		if len(s.Evacuations) > 0 {
			evacuated = strings.Join(s.EvacuatedDomains(), ", ")
		}
		return e, NotFound.New("the failure domain %s is not evacuated; evacuated: %s", domain, evacuated)
	}
	e.before = old
	return e, nil
}
