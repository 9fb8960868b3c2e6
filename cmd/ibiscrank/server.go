package main

import (
	"context"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisclient"
)

// serverCmd is the command server.
type serverCmd struct {
	Aside  serverAsideCmd  `cmd:"" help:"Keep a backend server from new work."`
	Return serverReturnCmd `cmd:"" help:"Give a backend server new work again."`
}

type serverAsideCmd struct {
	changeFlags `embed:""`
	Server      string `arg:"" help:"Name of the backend server."`
	Reason      string `arg:"" help:"Why, for other operators."`
}

// Run sets the backend server aside.
func (c *serverAsideCmd) Run() error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.SetAside(ctx, c.ChangeID, c.Server, c.Reason)
	})
}

type serverReturnCmd struct {
	changeFlags `embed:""`
	Server      string `arg:"" help:"Name of the backend server."`
}

// Run returns the backend server.
func (c *serverReturnCmd) Run() error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.Return(ctx, c.ChangeID, c.Server)
	})
}
