package ibissettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
)

// root is the JSON path of the whole file.
const root = "$"

// member is one name and value of the file's object.
type member struct {
	name  string
	value json.RawMessage
}

// UnmarshalJSON decodes, completes and checks settings.
func (s *Settings) UnmarshalJSON(b []byte) error {
	parsed, err := Parse(b)
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// decode fills in the members that it can and lists the others. A file that is not one JSON object
// gives a single problem at the root.
func decode(b []byte) (Settings, Problems) {
	var s Settings
	members, err := split(b)
	if err != nil {
		return s, Problems{{Path: root, Reason: place(b, err)}}
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

// split reads the members of one JSON object in order.
func split(b []byte) ([]member, error) {
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

// place adds the line of a syntax error.
func place(b []byte, err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the JSON ends too early"
	}
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		end := min(int(syntax.Offset), len(b))
		return fmt.Sprintf("line %d: %v", 1+bytes.Count(b[:end], []byte("\n")), err)
	}
	return err.Error()
}

// fieldsByName maps the name of each setting to its field.
func fieldsByName(s *Settings) map[string]reflect.Value {
	v := reflect.ValueOf(s).Elem()
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		fields[v.Type().Field(i).Name] = v.Field(i)
	}
	return fields
}

// decodeField decodes one value; each element of a list is reported by itself.
func decodeField(path string, raw json.RawMessage, field reflect.Value) Problems {
	if field.Kind() == reflect.Slice {
		return decodeList(path, raw, field)
	}
	if bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, field.Addr().Interface()) != nil {
		return Problems{{path, fmt.Sprintf("%s is not %s", brief(raw), wanted(field.Type()))}}
	}
	return nil
}

func decodeList(path string, raw json.RawMessage, field reflect.Value) Problems {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil || items == nil {
		return Problems{{path, fmt.Sprintf("%s is not a list", brief(raw))}}
	}
	var problems Problems
	list := reflect.MakeSlice(field.Type(), len(items), len(items))
	for i, item := range items {
		problems = append(problems, decodeField(fmt.Sprintf("%s[%d]", path, i), item, list.Index(i))...)
	}
	field.Set(list)
	return problems
}

func wanted(t reflect.Type) string {
	if t.Kind() == reflect.String {
		return "a string"
	}
	return "a whole number"
}

// brief is the start of a value, for messages.
func brief(raw json.RawMessage) string {
	const most = 40
	if len(raw) > most {
		return string(raw[:most]) + "..."
	}
	return string(raw)
}
