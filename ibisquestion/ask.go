package ibisquestion

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Ask puts the questions on w and reads an answer a line from r. An empty line takes the default, and
// a wrong answer is explained and asked for again.
func (s Set) Ask(r io.Reader, w io.Writer) (Answers, error) {
	in := bufio.NewScanner(r)
	answers := make(Answers)
	fmt.Fprintf(w, "%s\nAn empty line takes the answer in brackets.\n", s.About)
	for _, q := range s.Questions {
		if !q.applies(answers) {
			continue
		}
		answer, err := q.ask(in, w)
		if err != nil {
			return nil, err
		}
		answers[q.Name] = answer
	}
	return answers, nil
}

func (q Question) ask(in *bufio.Scanner, w io.Writer) (string, error) {
	fmt.Fprintf(w, "\n%s\n", q.Explain)
	for {
		fmt.Fprint(w, q.Ask)
		if q.Default != nil {
			fmt.Fprintf(w, " [%s]", *q.Default)
		}
		fmt.Fprint(w, " ")
		if !in.Scan() {
			if err := in.Err(); err != nil {
				return "", Error.Wrap(err)
			}
			return "", Error.New("the input ended before the question %s was answered", q.Name)
		}
		line := strings.TrimSpace(in.Text())
		if line == "" && q.Default != nil {
			line = *q.Default
		}
		answer, err := q.Check(line)
		if err == nil {
			return answer, nil
		}
		fmt.Fprintf(w, "%v.\n", err)
	}
}

// File is a file of answers.
type File struct {
	Trade   string         `json:"Trade"`
	Answers map[string]any `json:"Answers"` // texts, numbers or booleans by the questions' names
}

// ReadFile reads a file of answers, puts defaults in place of those that are absent and reports every
// fault at once.
func ReadFile(r io.Reader) (Set, Answers, error) {
	var f File
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	dec.UseNumber()
	if err := dec.Decode(&f); err != nil {
		return Set{}, nil, Error.Wrap(err)
	}
	set, err := Load(f.Trade)
	if err != nil {
		return Set{}, nil, err
	}
	given := make(Answers)
	for name, v := range f.Answers {
		given[name] = fmt.Sprint(v)
	}
	answers, err := set.Complete(given)
	return set, answers, err
}

// Complete checks answers and puts defaults in place of those that are absent. It reports every fault
// at once, also answers to questions that are not asked.
func (s Set) Complete(given Answers) (Answers, error) {
	answers, known := make(Answers), make(map[string]bool)
	var bad []string
	for _, q := range s.Questions {
		known[q.Name] = true
		text, ok := given[q.Name]
		if !q.applies(answers) {
			if ok {
				bad = append(bad, fmt.Sprintf("%s: only asked when %s", q.Name, q.When))
			}
			continue
		}
		if !ok && q.Default == nil {
			bad = append(bad, q.Name+": is missing")
			continue
		}
		if !ok {
			text = *q.Default
		}
		answer, err := q.Check(text)
		if err != nil {
			bad = append(bad, fmt.Sprintf("%s: %v", q.Name, err))
			continue
		}
		answers[q.Name] = answer
	}
	for name := range given {
		if !known[name] {
			bad = append(bad, name+": there is no such question")
		}
	}
	if len(bad) > 0 {
		return nil, Error.New("%s", strings.Join(bad, "; "))
	}
	return answers, nil
}
