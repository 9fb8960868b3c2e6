package main

import (
	"context"

	"ibiscrank/ibiswork"
)

// statusCmd is the command status.
type statusCmd struct {
	callerFlags `embed:""`

	ID   string `arg:"" help:"ID of the request."`
	Wait bool   `help:"Wait for the answer."`
}

// Run prints how far the request has come.
func (c *statusCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	if c.Wait {
		answer, err := c.caller().Wait(ctx, ibiswork.ID(c.ID))
		if err != nil {
			return refused(err)
		}
		return printJSON(answer)
	}
	st, err := c.caller().Status(ctx, ibiswork.ID(c.ID), 0)
	if err != nil {
		return refused(err)
	}
	return printJSON(st)
}
