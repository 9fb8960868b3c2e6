package ibisquestion

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Ask writes the questions to w and reads one answer per line from r. An empty line accepts the default. An
// invalid answer is reported on w and the question asked again. It returns an error when r ends early.
func (s Questionnaire) Ask(r io.Reader, w io.Writer) (Answers, error) {
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

// ask asks one question until the answer is valid.
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
			return "", Error.New("the input ended before the question %q was answered", q.Name)
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

// File is the content of a file of answers.
type File struct {
	Trade   string         `json:"Trade"`
	Answers map[string]any `json:"Answers"` // strings, numbers or booleans, by question name
}

// ReadFile reads answers as JSON and returns them, completed by Complete, with the questions of their trade.
func ReadFile(r io.Reader) (Questionnaire, Answers, error) {
	var f File
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	dec.UseNumber()
	if err := dec.Decode(&f); err != nil {
		return Questionnaire{}, nil, Error.Wrap(err)
	}
	questionnaire, err := Load(f.Trade)
	if err != nil {
		return Questionnaire{}, nil, err
	}
	given := make(Answers)
	for name, v := range f.Answers {
		given[name] = fmt.Sprint(v)
	}
	answers, err := questionnaire.Complete(given)
	return questionnaire, answers, err
}

// Complete validates answers and fills in defaults for those that are absent. Its error lists all problems at
// once, including answers to questions that do not exist or do not apply.
func (s Questionnaire) Complete(given Answers) (Answers, error) {
	answers, names := make(Answers), make(map[string]bool)
	var bad []string
	for _, q := range s.Questions {
		names[q.Name] = true
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
		if !names[name] {
			bad = append(bad, name+": there is no such question")
		}
	}
	if len(bad) > 0 {
		return nil, Error.New("%s", strings.Join(bad, "; "))
	}
	return answers, nil
}
