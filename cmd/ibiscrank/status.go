package main

import (
	"context"

	"ibiscrank/ibiswork"
)

// statusCmd implements "ibiscrank status".
type statusCmd struct {
	callerFlags `embed:""`

	ID   string `arg:"" help:"ID of the request."`
	Wait bool   `help:"Wait until the request has ended and print its answer."`
}

// Run prints the status of the request, or its answer with --wait.
func (c *statusCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	if c.Wait {
		answer, err := c.caller().Wait(ctx, ibiswork.ID(c.ID))
		if err != nil {
			return printRefusal(err)
		}
		return printJSON(answer)
	}
	st, err := c.caller().Status(ctx, ibiswork.ID(c.ID), 0)
	if err != nil {
		return printRefusal(err)
	}
	return printJSON(st)
}
