package ibisshare

const (
	worthFactor    = 3    // multiple of its objective up to which a job is worth something
	lengthFraction = 0.7  // of the expected length that must fit, since estimates are rough
	tolerance      = 1.25 // multiple of its share above which a team is refused what would be late
	retrySpread    = 0.25 // of the time to return, by job and attempt, so that callers do not return together
	belowRetry     = 0.5  // of the time to return for teams below their share
	minRetryMS     = 500  // each refusal costs callers a call
	maxRetryMS     = 6000 // beyond it, a prediction of the wait says little
)

// Job describes a job that asks for admission.
type Job struct {
	ID          string
	Attempt     int     // number of earlier refusals
	AheadCoreMS float64 // waiting work that is served before it
	Better      Better  // arriving work that is served before it
	WidthCores  float64 // cores that it needs at once
	FreeCores   float64 // of these, what is free for it now
	LengthMS    float64 // expected time from its start to its end
	ObjectiveMS float64
	ShareRatio  float64 // its team's use as a multiple of its share; 1 if the team has none yet
}

// Reason says why a job is refused.
type Reason string

// The reasons of a Decision.
const (
	Accepted    Reason = ""
	TooLate     Reason = "TooLate"     // it has no chance to be completed while it is worth something
	BeyondShare Reason = "BeyondShare" // it would be late, and its team is above its share
)

// Decision is the answer to a Job.
type Decision struct {
	Reason  Reason
	WaitMS  int64 // expected wait
	RetryMS int64 // when to submit it again, if it is refused
}

// Decide decides whether to admit a job while the capacity does not suffice for all.
func Decide(s *Supply, j Job) Decision {
	wait := s.WaitMS(j.AheadCoreMS, j.WidthCores, j.FreeCores, j.Better)
	d := Decision{WaitMS: int64(wait)}
	end, limit := wait+lengthFraction*j.LengthMS, worthFactor*j.ObjectiveMS
	if AboveShare(j.ShareRatio) {
		d.Reason, limit = BeyondShare, j.ObjectiveMS
	} else {
		d.Reason = TooLate
	}
	if end <= limit {
		d.Reason = Accepted
		return d
	}
	if end > worthFactor*j.ObjectiveMS {
		d.Reason = TooLate
	}
	retry := (end - limit) * spread(j.ID, j.Attempt, retrySpread)
	if j.ShareRatio < 1 {
		retry *= belowRetry
	}
	// The bounds are spread too: most of those refused at the same time may be beyond them.
	retry = min(max(retry, minRetryMS*spread(j.ID, j.Attempt, retrySpread)), maxRetryMS*spread(j.ID, j.Attempt, retrySpread))
	d.RetryMS = int64(retry)
	return d
}

// AboveShare reports whether a team with the given use, as a multiple of its share, is above its share beyond the
// variation that single jobs cause.
func AboveShare(ratio float64) bool { return ratio > tolerance }
