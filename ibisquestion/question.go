// Package ibisquestion asks a new team about its workload, share and limits, and generates a validated team
// configuration, and daemon settings on request, from the answers. Command ibiscrank runs it.
//
// Questions are data in embedded JSON files: the text of the question, its explanation, the kind and bounds
// of the answer, and the setting that it determines. The file of a trade, a line of business such as tuul,
// replaces texts and defaults of the generic questions.
//
// Usage:
//
//	questionnaire, err := ibisquestion.Load("tuul")
//	answers, err := questionnaire.Ask(os.Stdin, os.Stdout)
//	generated, err := questionnaire.Generate(answers)
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
var dataFiles embed.FS

// Error is the class of errors of this package.
var Error = errs.Class("questionnaire")

// Generic is the trade with the generic texts and defaults.
const Generic = "generic"

// Kind is the type of an answer.
type Kind string

// The kinds of answers.
const (
	Text   Kind = "Text"
	Number Kind = "Number"
	YesNo  Kind = "YesNo"
)

// Question is a question with its rules for valid answers.
type Question struct {
	Name    string  `json:"Name"`
	Kind    Kind    `json:"Kind"`
	Sets    string  `json:"Sets,omitempty"` // the setting to fill: a key of setters, or Objective.<class>.<field>
	When    string  `json:"When,omitempty"` // "Name=answer": asked only if an earlier question has this answer
	Ask     string  `json:"Ask"`
	Explain string  `json:"Explain"`
	Default *string `json:"Default,omitempty"` // nil if an answer is required
	Pattern string  `json:"Pattern,omitempty"` // regular expression for a Text
	Min     float64 `json:"Min,omitempty"`     // lower bound of a Number, inclusive
	Max     float64 `json:"Max,omitempty"`     // upper bound of a Number, inclusive
	Whole   bool    `json:"Whole,omitempty"`   // whether a Number must be whole
}

// questionText replaces the texts of one question. An empty Explain keeps the generic one.
type questionText struct {
	Ask     string `json:"Ask"`
	Explain string `json:"Explain"`
}

// trade is the data file of one trade. Words and Defaults are keyed by question name.
type trade struct {
	Trade    string                  `json:"Trade"`
	About    string                  `json:"About"`
	Words    map[string]questionText `json:"Words"`
	Defaults map[string]string       `json:"Defaults"`
}

// Questionnaire holds the questions in order, with the texts and defaults of one trade.
type Questionnaire struct {
	Trade     string
	About     string // printed before the first question
	Questions []Question
}

// Answers maps the name of each question to its answer as text.
type Answers map[string]string

// Trades lists Generic and the trades with a data file, sorted by name.
func Trades() []string {
	names, err := fs.Glob(dataFiles, "data/*.json")
	if err != nil {
		return nil
	}
	for i, name := range names {
		names[i] = strings.TrimSuffix(strings.TrimPrefix(name, "data/"), ".json")
	}
	return names
}

// Load returns the questions with the texts and defaults of a trade. An empty name means Generic.
func Load(name string) (Questionnaire, error) {
	if name == "" {
		name = Generic
	}
	if !slices.Contains(Trades(), name) {
		return Questionnaire{}, Error.New("unknown trade %q, expected one of %s", name, strings.Join(Trades(), ", "))
	}
	s := Questionnaire{Trade: name, About: "A new team."}
	if err := readData(Generic, &s.Questions); err != nil || name == Generic {
		return s, err
	}
	var t trade
	if err := readData(name, &t); err != nil {
		return s, err
	}
	s.About = t.About
	return s, s.applyTrade(t)
}

// readData decodes the embedded data file of a trade into v.
func readData(name string, v any) error {
	b, err := dataFiles.ReadFile("data/" + name + ".json")
	if err != nil {
		return Error.Wrap(err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return Error.New("data/%s.json: %v", name, err)
	}
	return nil
}

// applyTrade replaces texts and defaults of the questions by those of a trade.
func (s Questionnaire) applyTrade(t trade) error {
	index := make(map[string]*Question)
	for i := range s.Questions {
		index[s.Questions[i].Name] = &s.Questions[i]
	}
	for name, w := range t.Words {
		q, ok := index[name]
		if !ok {
			return Error.New("trade %s: text for the unknown question %q", t.Trade, name)
		}
		q.Ask = w.Ask
		if w.Explain != "" {
			q.Explain = w.Explain
		}
	}
	for name, d := range t.Defaults {
		q, ok := index[name]
		if !ok {
			return Error.New("trade %s: default for the unknown question %q", t.Trade, name)
		}
		q.Default = &d
	}
	return nil
}

// applies reports whether the question is asked, given the answers to earlier questions.
func (q Question) applies(a Answers) bool {
	name, want, ok := strings.Cut(q.When, "=")
	return !ok || a[name] == want
}

// Check validates an answer and returns it in canonical form: trimmed, "yes" or "no", or a plain decimal. The
// error says what is wrong with it.
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
		return "", Error.New("%q does not match %s", answer, q.Pattern)
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

// decimal formats n without an exponent.
func decimal(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
