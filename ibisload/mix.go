package ibisload

import (
	"embed"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"ibiscrank/ibiswork"
)

//go:embed mixes/*.json
var mixFiles embed.FS

// Kind describes one kind of request in a mix. Run times follow a log-normal distribution. The ratio of
// declared to real run time is log-normal too, with median 1.
type Kind struct {
	Name           string             `json:"Name"`
	Class          ibiswork.Class     `json:"Class"`
	Weight         float64            `json:"Weight"`
	Tasks          int                `json:"Tasks,omitempty"` // number of tasks of a gang
	Idempotent     bool               `json:"Idempotent,omitempty"`
	Urgent         bool               `json:"Urgent,omitempty"`
	DeadlineMS     int64              `json:"DeadlineMS,omitempty"`
	Resources      ibiswork.Resources `json:"Resources"`
	RunMS          float64            `json:"RunMS"`                    // median of the run time in milliseconds
	RunSigma       float64            `json:"RunSigma,omitempty"`       // standard deviation of ln(run time)
	DeclaredSigma  float64            `json:"DeclaredSigma,omitempty"`  // standard deviation of ln(declared / real run time)
	PayloadBytes   int                `json:"PayloadBytes,omitempty"`   // minimum size; shorter payloads are padded
	ResultBytes    int                `json:"ResultBytes,omitempty"`    // size of the filler in each task's result
	CancelFraction float64            `json:"CancelFraction,omitempty"` // fraction, 0 to 1, that is cancelled once accepted
}

// Mix is a named set of request kinds.
type Mix struct {
	Name    string `json:"Name"`
	Comment string `json:"Comment,omitempty"`
	Kinds   []Kind `json:"Kinds"`
}

// UnmarshalJSON decodes and validates a mix.
func (m *Mix) UnmarshalJSON(b []byte) error {
	// mixFields has the fields of Mix but not its methods, so that decoding does not recurse.
	type mixFields Mix
	if err := json.Unmarshal(b, (*mixFields)(m)); err != nil {
		return Error.Wrap(err)
	}
	return m.Check()
}

// Check validates the mix and reports all problems in one error.
func (m Mix) Check() error {
	var bad []string
	if len(m.Kinds) == 0 {
		bad = append(bad, "Kinds: is empty")
	}
	for i, k := range m.Kinds {
		if err := k.check(); err != nil {
			bad = append(bad, fmt.Sprintf("Kinds[%d]: %v", i, err))
		}
	}
	if len(bad) > 0 {
		return Error.New("mix %q: %s", m.Name, strings.Join(bad, "; "))
	}
	return nil
}

func (k Kind) check() error {
	if !(k.Weight > 0) || !(k.RunMS > 0) || k.RunSigma < 0 || k.DeclaredSigma < 0 {
		return Error.New("Weight (%g) and RunMS (%g) must be above zero, RunSigma (%g) and DeclaredSigma (%g) must not be negative", k.Weight, k.RunMS, k.RunSigma, k.DeclaredSigma)
	}
	if k.CancelFraction < 0 || k.CancelFraction > 1 || k.PayloadBytes < 0 || k.ResultBytes < 0 {
		return Error.New("CancelFraction (%g) must be from 0 to 1, PayloadBytes (%d) and ResultBytes (%d) must not be negative", k.CancelFraction, k.PayloadBytes, k.ResultBytes)
	}
	r := ibiswork.Request{ID: ibiswork.NewID(), Class: k.Class, Kind: k.Name, Resources: k.Resources, Tasks: k.Tasks, DeadlineMS: k.DeadlineMS}
	return r.Check()
}

// NamedMix returns an embedded mix by its name; see MixNames.
func NamedMix(name string) (Mix, error) {
	b, err := mixFiles.ReadFile("mixes/" + name + ".json")
	if err != nil {
		return Mix{}, Error.New("unknown mix %q; there are %s", name, strings.Join(MixNames(), ", "))
	}
	var m Mix
	err = json.Unmarshal(b, &m)
	return m, err
}

// MixNames returns the names of the embedded mixes in alphabetical order.
func MixNames() []string {
	entries, err := mixFiles.ReadDir("mixes")
	if err != nil {
		return nil // the directory is always embedded
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	sort.Strings(names)
	return names
}
