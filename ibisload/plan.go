package ibisload

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// arrival is one planned request. Its ID is generated when it is sent, because IDs contain a timestamp.
type arrival struct {
	offset  time.Duration // scheduled time since the start of the load
	team    int           // index into Options.Teams
	kind    int           // index into Mix.Kinds
	daemon  int           // index of the daemon that is tried first
	request ibiswork.Request
	cancel  bool
	repeat  bool // submit the same ID twice concurrently, through two daemons
}

// planner generates the arrivals of one load. The same options and seed give the same arrivals.
type planner struct {
	opts    Options
	rng     *rand.Rand
	teams   chooser
	kinds   chooser
	elapsed time.Duration // scheduled time of the latest arrival
}

func newPlanner(opts Options) *planner {
	p := &planner{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0))}
	for _, t := range opts.Teams {
		p.teams.add(t.weight())
	}
	for _, k := range opts.Mix.Kinds {
		p.kinds.add(k.Weight)
	}
	return p
}

// next returns the next arrival, or false after the end of the load.
func (p *planner) next() (arrival, bool) {
	p.elapsed += time.Duration(p.rng.ExpFloat64() / p.opts.Rate * float64(time.Second))
	if p.elapsed >= p.opts.Duration {
		return arrival{}, false
	}
	a := arrival{offset: p.elapsed, team: p.teams.choose(p.rng), kind: p.kinds.choose(p.rng), daemon: p.rng.IntN(len(p.opts.Daemons))}
	k := p.opts.Mix.Kinds[a.kind]
	a.request = p.request(k, p.opts.Teams[a.team])
	a.cancel = p.rng.Float64() < k.CancelFraction
	a.repeat = p.rng.Float64() < p.opts.RepeatFraction && a.request.Durable()
	return a, true
}

func (p *planner) request(k Kind, t Team) ibiswork.Request {
	run := max(1, k.RunMS*p.opts.timeScale()*math.Exp(p.rng.NormFloat64()*k.RunSigma))
	declared := max(1, run*math.Exp(p.rng.NormFloat64()*k.DeclaredSigma))
	return ibiswork.Request{
		Queue:      t.Queue,
		Class:      k.Class,
		Kind:       k.Name,
		Resources:  k.Resources,
		Tasks:      k.Tasks,
		RunTimeMS:  int64(declared),
		DeadlineMS: k.DeadlineMS,
		Idempotent: k.Idempotent,
		Urgent:     k.Urgent,
		Payload:    payload(int64(run), k),
	}
}

// payload returns instructions for the simulated backend server, padded with spaces to the size of the kind.
func payload(runMS int64, k Kind) []byte {
	b, err := json.Marshal(ibisstandin.Payload{RunMS: &runMS, ResultBytes: k.ResultBytes})
	if err != nil {
		return nil // unreachable: a Payload always encodes
	}
	if pad := k.PayloadBytes - len(b); pad > 0 {
		b = append(b, strings.Repeat(" ", pad)...)
	}
	return b
}

// chooser picks a random index with a probability in proportion to its weight.
type chooser struct{ sums []float64 } // cumulative weights

func (c *chooser) add(weight float64) { c.sums = append(c.sums, c.total()+weight) }

func (c *chooser) total() float64 {
	if len(c.sums) == 0 {
		return 0
	}
	return c.sums[len(c.sums)-1]
}

func (c *chooser) choose(rng *rand.Rand) int {
	x := rng.Float64() * c.total()
	for i, s := range c.sums {
		if x < s {
			return i
		}
	}
	return len(c.sums) - 1
}
