package main

import (
	"context"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisclient"
)

// serverCmd implements "ibiscrank server".
type serverCmd struct {
	Aside  serverAsideCmd  `cmd:"" help:"Set a backend server aside, so that it gets no new work."`
	Return serverReturnCmd `cmd:"" help:"Return a backend server to service."`
}

type serverAsideCmd struct {
	changeFlags `embed:""`
	Server      string `arg:"" help:"Name of the backend server."`
	Reason      string `arg:"" help:"Reason, shown to other operators."`
}

// Run sets the backend server aside.
func (c *serverAsideCmd) Run() error {
	return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.SetAside(ctx, c.ChangeID, c.Server, c.Reason)
	})
}

type serverReturnCmd struct {
	changeFlags `embed:""`
	Server      string `arg:"" help:"Name of the backend server."`
}

// Run returns the backend server to service.
func (c *serverReturnCmd) Run() error {
	return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.Return(ctx, c.ChangeID, c.Server)
	})
}
