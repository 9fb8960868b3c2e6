package main

import (
	"context"

	"ibiscrank/ibiswork"
)

// cancelCmd is the command cancel.
type cancelCmd struct {
	callerFlags `embed:""`

	ID string `arg:"" help:"ID of the request."`
}

// Run cancels the request and prints what has become of it.
func (c *cancelCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	st, err := c.caller().Cancel(ctx, ibiswork.ID(c.ID))
	if err != nil {
		return refused(err)
	}
	return printJSON(st)
}
