// Package ibisquestion asks a new team about its work, its share and its limits, and generates the
// checked configuration from the answers.
//
// Questions are data in embedded files: what is asked, the explanation, the kind and bounds of the
// answer, and which setting it yields. A trade replaces words and defaults of the generic questions.
//
// Usage:
//
//	set, err := ibisquestion.Load("tuul")
//	answers, err := set.Ask(os.Stdin, os.Stdout)
//	generated, err := set.Generate(answers)
//	_, err = admin.PutTeam(ctx, "", 0, generated.Team)
package ibisquestion

import (
	"embed"
	"encoding/json"
	"io/fs"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

//go:embed data/*.json
var files embed.FS

// Error is the class of errors of this package.
var Error = errs.Class("questionnaire")

// Generic is the trade with the generic words.
const Generic = "generic"

// Kind is the form of an answer.
type Kind string

// The kinds of answers.
const (
	Text   Kind = "Text"
	Number Kind = "Number"
	YesNo  Kind = "YesNo"
)

// Question is one question.
type Question struct {
	Name    string  `json:"Name"`
	Kind    Kind    `json:"Kind"`
	Sets    string  `json:"Sets,omitempty"` // the setting that the answer yields
	When    string  `json:"When,omitempty"` // Name=answer of an earlier question; otherwise it is not asked
	Ask     string  `json:"Ask"`
	Explain string  `json:"Explain"`
	Default *string `json:"Default,omitempty"`
	Pattern string  `json:"Pattern,omitempty"` // of a Text
	Min     float64 `json:"Min,omitempty"`     // of a Number
	Max     float64 `json:"Max,omitempty"`     // of a Number
	Whole   bool    `json:"Whole,omitempty"`   // a Number without a fraction
}

// words replaces the words of one question.
type words struct {
	Ask     string `json:"Ask"`
	Explain string `json:"Explain"`
}

// trade is the wording of one trade.
type trade struct {
	Trade    string            `json:"Trade"`
	About    string            `json:"About"`
	Words    map[string]words  `json:"Words"`
	Defaults map[string]string `json:"Defaults"`
}

// Set is the questions in the words of one trade.
type Set struct {
	Trade     string
	About     string
	Questions []Question
}

// Answers holds the answer to each question by its name, as text.
type Answers map[string]string

// Trades lists the trades that have words of their own, and Generic.
func Trades() []string {
	names, err := fs.Glob(files, "data/*.json")
	if err != nil {
		return nil
	}
	for i, name := range names {
		names[i] = strings.TrimSuffix(strings.TrimPrefix(name, "data/"), ".json")
	}
	return names
}

// Load reads the questions in the words of a trade; an empty one is Generic.
func Load(name string) (Set, error) {
	if name == "" {
		name = Generic
	}
	if !slices.Contains(Trades(), name) {
		return Set{}, Error.New("no trade %q; there are %s", name, strings.Join(Trades(), ", "))
	}
	s := Set{Trade: name, About: "A new team."}
	if err := read(Generic, &s.Questions); err != nil || name == Generic {
		return s, err
	}
	var t trade
	if err := read(name, &t); err != nil {
		return s, err
	}
	s.About = t.About
	return s, s.reword(t)
}

func read(name string, v any) error {
	b, err := files.ReadFile("data/" + name + ".json")
	if err != nil {
		return Error.Wrap(err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return Error.New("%s: %v", name, err)
	}
	return nil
}

// reword puts the words and defaults of a trade in place.
func (s Set) reword(t trade) error {
	index := make(map[string]*Question)
	for i := range s.Questions {
		index[s.Questions[i].Name] = &s.Questions[i]
	}
	for name, w := range t.Words {
		q, ok := index[name]
		if !ok {
			return Error.New("%s has words for %s, which is not asked", t.Trade, name)
		}
		q.Ask = w.Ask
		if w.Explain != "" {
			q.Explain = w.Explain
		}
	}
	for name, d := range t.Defaults {
		q, ok := index[name]
		if !ok {
			return Error.New("%s has a default for %s, which is not asked", t.Trade, name)
		}
		q.Default = &d
	}
	return nil
}

// applies reports whether the question is asked after these answers.
func (q Question) applies(a Answers) bool {
	name, want, ok := strings.Cut(q.When, "=")
	return !ok || a[name] == want
}

// Check returns the answer in its usual form, or what is wrong with it.
func (q Question) Check(answer string) (string, error) {
	answer = strings.TrimSpace(answer)
	switch q.Kind {
	case YesNo:
		return checkYesNo(answer)
	case Number:
		return q.checkNumber(answer)
	}
	ok, err := regexp.MatchString(q.Pattern, answer)
	if err != nil {
		return "", Error.Wrap(err)
	}
	if !ok {
		return "", Error.New("%q has not the right form (%s)", answer, q.Pattern)
	}
	return answer, nil
}

func checkYesNo(answer string) (string, error) {
	switch strings.ToLower(answer) {
	case "y", "yes", "true":
		return "yes", nil
	case "n", "no", "false":
		return "no", nil
	}
	return "", Error.New("%q is neither yes nor no", answer)
}

func (q Question) checkNumber(answer string) (string, error) {
	n, err := strconv.ParseFloat(answer, 64)
	if err != nil || math.IsNaN(n) {
		return "", Error.New("%q is not a number", answer)
	}
	if n < q.Min || n > q.Max {
		return "", Error.New("%s is outside %s to %s", answer, decimal(q.Min), decimal(q.Max))
	}
	if q.Whole && n != math.Trunc(n) {
		return "", Error.New("%s is not a whole number", answer)
	}
	return decimal(n), nil
}

func decimal(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
