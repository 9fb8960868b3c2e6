package ibisallot

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibistable"
	"ibiscrank/ibiswork"
)

const keyPrefix = "allot/"

// Row records how one team's upper limit is divided among holders: the incarnations of daemons, and lost
// holders (see Ledger.Reassign). The maps are keyed by holder ID. A Row is an immutable value. Version is the
// version of the table row, zero if there is no such row.
type Row struct {
	Team    string                        `json:"Team"`
	Held    map[string]ibiswork.Resources `json:"Held,omitempty"`
	Over    map[string]ibiswork.Resources `json:"Over,omitempty"`   // use beyond the allotment, after claiming a backend server
	Wanted  map[string]ibiswork.Resources `json:"Wanted,omitempty"` // unmet demand beyond the allotment
	Whole   map[string]bool               `json:"Whole,omitempty"`  // set if the demand is indivisible
	Version int64                         `json:"-"`
}

// plainRow is Row without its methods, so that decoding doesn't recurse into UnmarshalCBOR.
type plainRow Row

// Check returns an error if an amount is negative.
func (r Row) Check() error {
	for _, m := range []map[string]ibiswork.Resources{r.Held, r.Over, r.Wanted} {
		for inc, a := range m {
			if err := a.Check(); err != nil {
				return Error.New("allotment of team %q, holder %q: %v", r.Team, inc, err)
			}
		}
	}
	return nil
}

// UnmarshalCBOR decodes and checks a row.
func (r *Row) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*plainRow)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}

// Key returns the table key of a team's row.
func Key(team string) string { return keyPrefix + team }

func decode(row ibistable.Row) (Row, error) {
	var r Row
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return Row{}, Error.Wrap(fmt.Errorf("%s: %w", row.Key, err))
	}
	if Key(r.Team) != row.Key {
		return Row{}, Error.New("row %s contains the allotments of team %q", row.Key, r.Team)
	}
	r.Version = row.Version
	return r, nil
}

// encMode sorts the keys of maps, so that equal rows have equal encodings.
var encMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (r Row) toWrite() (ibistable.Write, error) {
	value, err := encMode.Marshal(plainRow(r))
	if err != nil {
		return ibistable.Write{}, Error.Wrap(err)
	}
	return ibistable.Put(Key(r.Team), r.Version, value), nil
}

// Sum returns everything that counts against the limit: the allotments, and the use beyond them.
func (r Row) Sum() ibiswork.Resources { return sum(r.Held).Add(sum(r.Over)) }

func sum(m map[string]ibiswork.Resources) ibiswork.Resources {
	var s ibiswork.Resources
	for _, a := range m {
		s = s.Add(a)
	}
	return s
}

// Grow adds as much of by to the allotment of inc as the limit permits, for each resource by itself. It
// returns the new row and the amount granted.
func (r Row) Grow(inc string, by, limit ibiswork.Resources) (Row, ibiswork.Resources) {
	granted := nonNegative(by).Min(nonNegative(limit.Sub(r.Sum())))
	return r.withHeld(inc, r.Held[inc].Add(granted)), granted
}

// Shrink reduces the allotment of inc to at most the given amount.
func (r Row) Shrink(inc string, to ibiswork.Resources) Row {
	return r.withHeld(inc, r.Held[inc].Min(nonNegative(to)))
}

// Move moves an amount from the allotment of one holder to another's, at most what the first one holds.
func (r Row) Move(from, to string, amount ibiswork.Resources) Row {
	moved := nonNegative(amount).Min(r.Held[from])
	r = r.withHeld(from, r.Held[from].Sub(moved))
	return r.withHeld(to, r.Held[to].Add(moved))
}

// Drop removes all entries of inc.
func (r Row) Drop(inc string) Row {
	r = r.withHeld(inc, ibiswork.Resources{}).withOveruse(inc, ibiswork.Resources{})
	return r.withWanted(inc, ibiswork.Resources{}, false)
}

func (r Row) withHeld(inc string, held ibiswork.Resources) Row {
	r.Held = withEntry(r.Held, inc, held)
	return r
}

// withOveruse records by how much the use of inc exceeds its allotment.
func (r Row) withOveruse(inc string, used ibiswork.Resources) Row {
	r.Over = withEntry(r.Over, inc, nonNegative(used.Sub(r.Held[inc])))
	return r
}

func (r Row) withWanted(inc string, wanted ibiswork.Resources, whole bool) Row {
	r.Wanted = withEntry(r.Wanted, inc, wanted)
	r.Whole = withEntry(r.Whole, inc, whole)
	return r
}

// wantedByOthers returns the sum of the unmet demand of all live incarnations but self.
func (r Row) wantedByOthers(self string, live []string) ibiswork.Resources {
	var s ibiswork.Resources
	for inc, a := range r.Wanted {
		if inc != self && slices.Contains(live, inc) {
			s = s.Add(a)
		}
	}
	return s
}

// withEntry returns a copy of m with one entry set, or removed if v is the zero value. It returns m itself if
// nothing changes.
func withEntry[T comparable](m map[string]T, inc string, v T) map[string]T {
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

// nonNegative returns r with negative amounts replaced by zero.
func nonNegative(r ibiswork.Resources) ibiswork.Resources { return r.Max(ibiswork.Resources{}) }
