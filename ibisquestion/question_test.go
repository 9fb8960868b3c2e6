package ibisquestion

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

func TestEveryQuestionIsComplete(t *testing.T) {
	assert.DeepEqual(t, Trades(), []string{"generic", "mandacaru", "tuul"})
	for _, name := range Trades() {
		questionnaire, err := Load(name)
		assert.NilError(t, err)
		seen := make(map[string]bool)
		for _, q := range questionnaire.Questions {
			assert.Check(t, q.Ask != "" && q.Explain != "" && !seen[q.Name], "%s: %s", name, q.Name)
			seen[q.Name] = true
			if before, _, ok := strings.Cut(q.When, "="); ok {
				assert.Check(t, seen[before], "%s: %s depends on a later question", name, q.Name)
			}
			if q.Default != nil {
				_, err := q.Check(*q.Default)
				assert.Check(t, err, "%s: the default of %s", name, q.Name)
			}
			if q.Sets != "" {
				assert.Check(t, new(Generated).set(q.Sets, "1", 1), "%s: %s", name, q.Name)
			}
		}
	}
	_, err := Load("none")
	assert.Assert(t, Error.Has(err))
}

// TestExamples checks that every example file of answers yields a valid configuration.
func TestExamples(t *testing.T) {
	names, err := filepath.Glob("../examples/*/*.json")
	assert.NilError(t, err)
	assert.Equal(t, len(names), 4)
	for _, name := range names {
		f, err := os.Open(name)
		assert.NilError(t, err)
		questionnaire, answers, err := ReadFile(f)
		assert.NilError(t, err, name)
		assert.NilError(t, f.Close())
		assert.Equal(t, questionnaire.Trade, filepath.Base(filepath.Dir(name)))
		g, err := questionnaire.Generate(answers)
		assert.NilError(t, err, name)
		assert.NilError(t, g.Change("change-1", "nara").Check())
		assert.Assert(t, !g.Team.UpperLimit.IsZero() && len(g.Team.Objectives) > 0, name)
	}
}

func TestTerminal(t *testing.T) {
	questionnaire, err := Load("tuul")
	assert.NilError(t, err)
	// The invalid name and the share above its bound are asked for again.
	lines := "Tuul Floor\ntuul-floor\n\n2000000\n3\n12.5\n64\n\n8\n\n0.5\n\nn\ny\n10.0.0.1\n\nub-1\nhttp://10.9.0.1:7000\nhttp://10.9.0.1:7000\n\n"
	var out bytes.Buffer
	answers, err := questionnaire.Ask(strings.NewReader(lines), &out)
	assert.NilError(t, err, out.String())
	assert.Assert(t, strings.Contains(out.String(), "gauge check") && strings.Contains(out.String(), "outside 0.001 to 1000000"), out.String())
	g, err := questionnaire.Generate(answers)
	assert.NilError(t, err)
	assert.DeepEqual(t, g.Team, ibisconfig.Team{
		Name: "tuul-floor", Share: 3,
		UpperLimit: ibiswork.Resources{MilliCPU: 12500, MemoryMB: 65536, Slots: 8},
		Objectives: []ibisconfig.Objective{{Class: ibiswork.Interactive, TargetMS: 500, Goal: 0.99}},
	})
	assert.Equal(t, g.Settings.Listen, "10.0.0.1:8080")
	assert.Equal(t, g.Settings.PeerListen, "10.0.0.1:8081")

	_, err = questionnaire.Ask(strings.NewReader("tuul-floor\n"), &out)
	assert.ErrorContains(t, err, "the input ended before")
}

func TestProblemsAreReportedTogether(t *testing.T) {
	const file = `{"Answers": {"Team": "T T", "Share": "NaN", "Cores": -1, "MemoryGB": 1, "Tasks": 1.5,
		"Port": 1, "Interactive": "maybe", "Colour": "red"}}`
	_, _, err := ReadFile(strings.NewReader(file))
	for _, want := range []string{"Team: ", "Share: ", "Cores: ", "Tasks: ", "Port: only asked when Daemon=yes", "Interactive: ", "Colour: there is no such question"} {
		assert.ErrorContains(t, err, want)
	}
	_, _, err = ReadFile(strings.NewReader(`{"Answers": {}}`))
	assert.ErrorContains(t, err, "Team: is missing")
	_, _, err = ReadFile(strings.NewReader(`{"Answer": {}}`))
	assert.ErrorContains(t, err, "unknown field")
}
