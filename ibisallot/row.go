package ibisallot

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibistable"
	"ibiscrank/ibiswork"
)

const prefix = "allot/"

// Row is how one team's upper limit is divided among incarnations. It is an immutable value. Version is
// that of the table row, zero when there is none.
type Row struct {
	Team    string                        `json:"Team"`
	Held    map[string]ibiswork.Resources `json:"Held,omitempty"`
	Over    map[string]ibiswork.Resources `json:"Over,omitempty"`   // used beyond what is held, after a takeover
	Wanted  map[string]ibiswork.Resources `json:"Wanted,omitempty"` // beyond what is held, not available
	Whole   map[string]bool               `json:"Whole,omitempty"`  // whose demand is indivisible
	Version int64                         `json:"-"`
}

// plain drops the methods of Row, so that decoding it does not recurse.
type plain Row

// Check reports an amount below zero.
func (r Row) Check() error {
	for _, m := range []map[string]ibiswork.Resources{r.Held, r.Over, r.Wanted} {
		for inc, a := range m {
			if err := a.Check(); err != nil {
				return Error.New("team %s at %s: %v", r.Team, inc, err)
			}
		}
	}
	return nil
}

// UnmarshalCBOR decodes and checks a row.
func (r *Row) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*plain)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}

// Key is the key of a team's row.
func Key(team string) string { return prefix + team }

func decode(row ibistable.Row) (Row, error) {
	var r Row
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return Row{}, Error.Wrap(fmt.Errorf("%s: %w", row.Key, err))
	}
	if Key(r.Team) != row.Key {
		return Row{}, Error.New("%s holds team %q", row.Key, r.Team)
	}
	r.Version = row.Version
	return r, nil
}

// encoding sorts the keys of maps, so that equal rows have equal bytes.
var encoding = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (r Row) put() (ibistable.Write, error) {
	value, err := encoding.Marshal(plain(r))
	if err != nil {
		return ibistable.Write{}, Error.Wrap(err)
	}
	return ibistable.Put(Key(r.Team), r.Version, value), nil
}

// Sum is all that counts against the limit: what is held, and what is used beyond it.
func (r Row) Sum() ibiswork.Resources { return sum(r.Held).Add(sum(r.Over)) }

func sum(m map[string]ibiswork.Resources) ibiswork.Resources {
	var s ibiswork.Resources
	for _, a := range m {
		s = s.Add(a)
	}
	return s
}

// Grow gives inc as much of by as the limit leaves, for each kind by itself.
func (r Row) Grow(inc string, by, limit ibiswork.Resources) (Row, ibiswork.Resources) {
	granted := positive(by).Min(positive(limit.Sub(r.Sum())))
	return r.with(inc, r.Held[inc].Add(granted)), granted
}

// Shrink lowers what inc holds to at most the amount.
func (r Row) Shrink(inc string, to ibiswork.Resources) Row {
	return r.with(inc, r.Held[inc].Min(positive(to)))
}

// Move passes an amount from one incarnation to another, at most what the first one holds.
func (r Row) Move(from, to string, amount ibiswork.Resources) Row {
	moved := positive(amount).Min(r.Held[from])
	r = r.with(from, r.Held[from].Sub(moved))
	return r.with(to, r.Held[to].Add(moved))
}

// Drop frees all that inc holds and wants.
func (r Row) Drop(inc string) Row {
	r = r.with(inc, ibiswork.Resources{}).withUsed(inc, ibiswork.Resources{})
	return r.withWanted(inc, ibiswork.Resources{}, false)
}

func (r Row) with(inc string, held ibiswork.Resources) Row {
	r.Held = set(r.Held, inc, held)
	return r
}

// withUsed puts on record what of the use is beyond what inc holds.
func (r Row) withUsed(inc string, used ibiswork.Resources) Row {
	r.Over = set(r.Over, inc, positive(used.Sub(r.Held[inc])))
	return r
}

func (r Row) withWanted(inc string, wanted ibiswork.Resources, whole bool) Row {
	r.Wanted = set(r.Wanted, inc, wanted)
	r.Whole = set(r.Whole, inc, whole)
	return r
}

// wantedByOthers is the unmet demand of all other incarnations among the live ones.
func (r Row) wantedByOthers(self string, live []string) ibiswork.Resources {
	var s ibiswork.Resources
	for inc, a := range r.Wanted {
		if inc != self && slices.Contains(live, inc) {
			s = s.Add(a)
		}
	}
	return s
}

// set is m with one entry, where a zero value means no entry.
func set[T comparable](m map[string]T, inc string, v T) map[string]T {
	if m[inc] == v {
		return m
	}
	m = maps.Clone(m)
	if m == nil {
		m = make(map[string]T)
	}
	m[inc] = v
	var zero T
	if v == zero {
		delete(m, inc)
	}
	return m
}

func positive(r ibiswork.Resources) ibiswork.Resources { return r.Max(ibiswork.Resources{}) }
