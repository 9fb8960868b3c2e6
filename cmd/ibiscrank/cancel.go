package main

import (
	"context"

	"ibiscrank/ibiswork"
)

// cancelCmd implements "ibiscrank cancel".
type cancelCmd struct {
	callerFlags `embed:""`

	ID string `arg:"" help:"ID of the request."`
}

// Run cancels the request and prints its status.
func (c *cancelCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	st, err := c.caller().Cancel(ctx, ibiswork.ID(c.ID))
	if err != nil {
		return printRefusal(err)
	}
	return printJSON(st)
}
