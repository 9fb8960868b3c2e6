package ibissettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
)

// root is the JSON path of the top-level value.
const root = "$"

// member is one member of the top-level object.
type member struct {
	name  string
	value json.RawMessage
}

// UnmarshalJSON decodes settings as Parse does: it sets defaults and checks the result.
func (s *Settings) UnmarshalJSON(b []byte) error {
	parsed, err := Parse(b)
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// decode sets the fields of the members that it can decode and returns a problem for each of the others. A file
// that is not one JSON object gives a single problem at the root.
func decode(b []byte) (Settings, Problems) {
	var s Settings
	members, err := splitObject(b)
	if err != nil {
		return s, Problems{{Path: root, Reason: describeDecodeError(b, err)}}
	}
	var problems Problems
	fields := fieldsByName(&s)
	seen := make(map[string]bool)
	for _, m := range members {
		path := root + "." + m.name
		field, ok := fields[m.name]
		switch {
		case !ok:
			problems = append(problems, Problem{path, "is not a known setting"})
		case seen[m.name]:
			problems = append(problems, Problem{path, "is given twice"})
		default:
			problems = append(problems, decodeField(path, m.value, field)...)
		}
		seen[m.name] = true
	}
	return s, problems
}

// splitObject returns the members of one JSON object in order.
func splitObject(b []byte) ([]member, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	t, err := dec.Token()
	if err != nil {
		return nil, err
	}
	if t != json.Delim('{') {
		return nil, errors.New("is not a JSON object")
	}
	var members []member
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, err
		}
		m := member{name: fmt.Sprint(name)}
		if err := dec.Decode(&m.value); err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	if _, err := dec.Token(); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("has more than one JSON value")
	}
	return members, nil
}

// describeDecodeError returns the reason of a Problem at the root. A syntax error gets its line number.
func describeDecodeError(b []byte, err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the JSON ends too early"
	}
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		end := min(int(syntax.Offset), len(b))
		return fmt.Sprintf("line %d: %v", 1+bytes.Count(b[:end], []byte("\n")), err)
	}
	return err.Error()
}

// fieldsByName maps the name of each setting to its field in s.
func fieldsByName(s *Settings) map[string]reflect.Value {
	v := reflect.ValueOf(s).Elem()
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		fields[v.Type().Field(i).Name] = v.Field(i)
	}
	return fields
}

// decodeField decodes raw into field. Each invalid element of a list gives a problem of its own.
func decodeField(path string, raw json.RawMessage, field reflect.Value) Problems {
	if field.Kind() == reflect.Slice {
		return decodeList(path, raw, field)
	}
	if bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, field.Addr().Interface()) != nil {
		return Problems{{path, fmt.Sprintf("%s is not %s", abbreviate(raw), typeName(field.Type()))}}
	}
	return nil
}

func decodeList(path string, raw json.RawMessage, field reflect.Value) Problems {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil || items == nil {
		return Problems{{path, fmt.Sprintf("%s is not a list", abbreviate(raw))}}
	}
	var problems Problems
	list := reflect.MakeSlice(field.Type(), len(items), len(items))
	for i, item := range items {
		problems = append(problems, decodeField(fmt.Sprintf("%s[%d]", path, i), item, list.Index(i))...)
	}
	field.Set(list)
	return problems
}

// typeName describes the JSON type that a field accepts.
func typeName(t reflect.Type) string {
	if t.Kind() == reflect.String {
		return "a string"
	}
	return "a whole number"
}

// abbreviate shortens a value for an error message.
func abbreviate(raw json.RawMessage) string {
	const maxBytes = 40
	if len(raw) > maxBytes {
		return string(raw[:maxBytes]) + "..."
	}
	return string(raw)
}
