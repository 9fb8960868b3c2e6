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

// Kind is one kind of request in a mix. Run times follow a log-normal distribution around their median.
type Kind struct {
	Name           string             `json:"Name"`
	Class          ibiswork.Class     `json:"Class"`
	Weight         float64            `json:"Weight"`
	Tasks          int                `json:"Tasks,omitempty"` // of a gang
	Idempotent     bool               `json:"Idempotent,omitempty"`
	Urgent         bool               `json:"Urgent,omitempty"`
	DeadlineMS     int64              `json:"DeadlineMS,omitempty"`
	Resources      ibiswork.Resources `json:"Resources"`
	RunMS          float64            `json:"RunMS"`                    // median
	RunSigma       float64            `json:"RunSigma,omitempty"`       // of the logarithm of the run time
	DeclaredSigma  float64            `json:"DeclaredSigma,omitempty"`  // of the logarithm of declared over real run time
	PayloadBytes   int                `json:"PayloadBytes,omitempty"`   // at least
	ResultBytes    int                `json:"ResultBytes,omitempty"`    // of filler in each task's result
	CancelFraction float64            `json:"CancelFraction,omitempty"` // cancelled once accepted
}

// Mix is a named choice of kinds.
type Mix struct {
	Name    string `json:"Name"`
	Comment string `json:"Comment,omitempty"`
	Kinds   []Kind `json:"Kinds"`
}

// UnmarshalJSON decodes a mix and checks it.
func (m *Mix) UnmarshalJSON(b []byte) error {
	type plain Mix
	if err := json.Unmarshal(b, (*plain)(m)); err != nil {
		return Error.Wrap(err)
	}
	return m.Check()
}

// Check reports every fault of the mix at once.
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
		return Error.New("mix %s: %s", m.Name, strings.Join(bad, "; "))
	}
	return nil
}

func (k Kind) check() error {
	if !(k.Weight > 0) || !(k.RunMS > 0) || k.RunSigma < 0 || k.DeclaredSigma < 0 {
		return Error.New("needs Weight and RunMS above zero and no negative Sigma")
	}
	if k.CancelFraction < 0 || k.CancelFraction > 1 || k.PayloadBytes < 0 || k.ResultBytes < 0 {
		return Error.New("needs a CancelFraction from 0 to 1 and no negative sizes")
	}
	r := ibiswork.Request{ID: ibiswork.NewID(), Class: k.Class, Kind: k.Name, Resources: k.Resources, Tasks: k.Tasks, DeadlineMS: k.DeadlineMS}
	return r.Check()
}

// NamedMix is one of the embedded mixes.
func NamedMix(name string) (Mix, error) {
	b, err := mixFiles.ReadFile("mixes/" + name + ".json")
	if err != nil {
		return Mix{}, Error.New("no mix %q; there are %s", name, strings.Join(MixNames(), ", "))
	}
	var m Mix
	err = json.Unmarshal(b, &m)
	return m, err
}

// MixNames lists the embedded mixes.
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
