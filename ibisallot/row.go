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
// holders (see Ledger.ReleaseClaimed). The maps are keyed by holder ID. Over is use beyond the allotment, which
// arises when a daemon claims a backend server with running tasks. A Row is an immutable value. Version is the
// version of the table row, zero if there is no such row.
type Row struct {
	Team    string                        `json:"Team"`
	Held    map[string]ibiswork.Resources `json:"Held,omitempty"`
	Over    map[string]ibiswork.Resources `json:"Over,omitempty"`   // use beyond the allotment
	Wanted  map[string]ibiswork.Resources `json:"Wanted,omitempty"` // unmet demand beyond the allotment
	Whole   map[string]bool               `json:"Whole,omitempty"`  // set if the demand is indivisible
	Version int64                         `json:"-"`
}

// rowFields has the fields of Row but not its methods, so that decoding does not recurse.
type rowFields Row

// Check returns an error if an amount is negative.
func (r Row) Check() error {
	for _, m := range []map[string]ibiswork.Resources{r.Held, r.Over, r.Wanted} {
		for holder, a := range m {
			if err := a.Check(); err != nil {
				return Error.New("allotment of team %q, holder %q: %v", r.Team, holder, err)
			}
		}
	}
	return nil
}

// UnmarshalCBOR decodes and checks a row.
func (r *Row) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*rowFields)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}

// Key returns the table key of a team's row.
func Key(team string) string { return keyPrefix + team }

// decode decodes a table row and checks that its key is that of the team.
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

// toWrite returns the write of r, conditional on its version.
func (r Row) toWrite() (ibistable.Write, error) {
	value, err := encMode.Marshal(rowFields(r))
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

// Grow adds as much of by to the allotment of holder as the limit permits, for each resource by itself. It
// returns the new row and the amount granted.
func (r Row) Grow(holder string, by, limit ibiswork.Resources) (Row, ibiswork.Resources) {
	granted := nonNegative(by).Min(nonNegative(limit.Sub(r.Sum())))
	return r.withHeld(holder, r.Held[holder].Add(granted)), granted
}

// Shrink reduces the allotment of holder to at most the given amount.
func (r Row) Shrink(holder string, to ibiswork.Resources) Row {
	return r.withHeld(holder, r.Held[holder].Min(nonNegative(to)))
}

// Move moves an amount from the allotment of one holder to another's, at most what the first one holds.
func (r Row) Move(from, to string, amount ibiswork.Resources) Row {
	moved := nonNegative(amount).Min(r.Held[from])
	r = r.withHeld(from, r.Held[from].Sub(moved))
	return r.withHeld(to, r.Held[to].Add(moved))
}

// Drop removes all entries of holder.
func (r Row) Drop(holder string) Row {
	r = r.withHeld(holder, ibiswork.Resources{}).withOveruse(holder, ibiswork.Resources{})
	return r.withWanted(holder, ibiswork.Resources{}, false)
}

func (r Row) withHeld(holder string, held ibiswork.Resources) Row {
	r.Held = withEntry(r.Held, holder, held)
	return r
}

// withOveruse records by how much the use of holder exceeds its allotment.
func (r Row) withOveruse(holder string, used ibiswork.Resources) Row {
	r.Over = withEntry(r.Over, holder, nonNegative(used.Sub(r.Held[holder])))
	return r
}

func (r Row) withWanted(holder string, wanted ibiswork.Resources, whole bool) Row {
	r.Wanted = withEntry(r.Wanted, holder, wanted)
	r.Whole = withEntry(r.Whole, holder, whole)
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
func withEntry[T comparable](m map[string]T, key string, v T) map[string]T {
	if m[key] == v {
		return m
	}
	m = maps.Clone(m)
	if m == nil {
		m = make(map[string]T)
	}
	m[key] = v
	var zero T
	if v == zero {
		delete(m, key)
	}
	return m
}

// nonNegative returns r with negative amounts replaced by zero.
func nonNegative(r ibiswork.Resources) ibiswork.Resources { return r.Max(ibiswork.Resources{}) }
