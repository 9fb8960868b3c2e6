package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisclient"
	"ibiscrank/ibisquestion"
)

// questionnaireCmd implements "ibiscrank questionnaire".
type questionnaireCmd struct {
	changeFlags `embed:""`
	Trade       string `help:"Wording and defaults of the questions: generic, mandacaru or tuul." default:"generic"`
	Answers     string `help:"Read the trade and the answers from this JSON file instead of the terminal." type:"existingfile" placeholder:"FILE"`
	Out         string `help:"Directory to write the team and the daemon's settings to, as <team>.json and daemon.json." type:"existingdir" placeholder:"DIR"`
	Apply       bool   `help:"Create the team in the running system."`
}

// Run asks the questions and generates the configuration. It then writes the configuration to files, applies
// it, or prints it when neither is asked for.
func (c *questionnaireCmd) Run() error {
	g, err := c.generate()
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := c.write(g); err != nil {
			return err
		}
	}
	if c.Apply {
		return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
			return a.PutTeam(ctx, c.ChangeID, 0, g.Team)
		})
	}
	if c.Out == "" {
		return printJSON(g)
	}
	return nil
}

func (c *questionnaireCmd) generate() (ibisquestion.Generated, error) {
	if c.Answers == "" {
		questionnaire, err := ibisquestion.Load(c.Trade)
		if err != nil {
			return ibisquestion.Generated{}, err
		}
		answers, err := questionnaire.Ask(os.Stdin, os.Stderr)
		if err != nil {
			return ibisquestion.Generated{}, err
		}
		return questionnaire.Generate(answers)
	}
	f, err := os.Open(c.Answers)
	if err != nil {
		return ibisquestion.Generated{}, err
	}
	defer f.Close()
	questionnaire, answers, err := ibisquestion.ReadFile(f)
	if err != nil {
		return ibisquestion.Generated{}, err
	}
	return questionnaire.Generate(answers)
}

// write writes the team, and the settings if there are any, to files.
func (c *questionnaireCmd) write(g ibisquestion.Generated) error {
	if err := writeFile(filepath.Join(c.Out, g.Team.Name+".json"), g.Team); err != nil {
		return err
	}
	if g.Settings == nil {
		return nil
	}
	return writeFile(filepath.Join(c.Out, "daemon.json"), g.Settings)
}

func writeFile(name string, v any) error {
	const mode = 0o644
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(b, '\n'), mode)
}
