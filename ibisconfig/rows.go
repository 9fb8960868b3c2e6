package ibisconfig

import (
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// rowMode encodes rows; times keep their nanoseconds and zone.
var rowMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) ([]byte, error) {
	b, err := rowMode.Marshal(v)
	return b, Error.Wrap(err)
}

// setRow takes one row of the table into s; an empty value says that the row does not exist. s is not
// published yet.
func (s *Snapshot) setRow(key string, value []byte) error {
	if name, ok := strings.CutPrefix(key, teamPrefix); ok {
		return setItem(s.Teams, name, value, func(t *Team) error { return t.Check() })
	}
	if name, ok := strings.CutPrefix(key, operatorPrefix); ok {
		rows := make(map[string]operatorRow)
		if err := setItem(rows, name, value, func(o *operatorRow) error { return o.Key.Check() }); err != nil {
			return err
		}
		if o, ok := rows[name]; ok {
			s.Operators[name], s.Versions[key] = o.Key, o.Version
			return nil
		}
		delete(s.Operators, name)
		delete(s.Versions, key)
		return nil
	}
	if name, ok := strings.CutPrefix(key, asidePrefix); ok {
		rows := make(map[string]asideRow)
		if err := setItem(rows, name, value, func(*asideRow) error { return nil }); err != nil {
			return err
		}
		if a, ok := rows[name]; ok {
			s.SetAside[name], s.Versions[key] = a.Reason, a.Version
			return nil
		}
		delete(s.SetAside, name)
		delete(s.Versions, key)
		return nil
	}
	return Error.New("row %s is of no known kind", key)
}

// setItem decodes and checks value into m, or removes the item when value is empty.
func setItem[T any](m map[string]T, name string, value []byte, check func(*T) error) error {
	if len(value) == 0 {
		delete(m, name)
		return nil
	}
	var v T
	if err := cbor.Unmarshal(value, &v); err != nil {
		return Error.New("row of %s: %v", name, err)
	}
	if err := check(&v); err != nil {
		return Error.New("row of %s: %v", name, err)
	}
	m[name] = v
	return nil
}

func keysOf(m map[KeyHash]bool) []KeyHash { return slices.Sorted(maps.Keys(m)) }

// union is a new set with the members of a and b.
func union(a, b map[KeyHash]bool) map[KeyHash]bool {
	u := cloneMap(a)
	maps.Copy(u, b)
	return u
}
