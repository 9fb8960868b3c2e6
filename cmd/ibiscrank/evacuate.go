package main

import (
	"context"
	"errors"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisclient"
)

// evacuateCmd implements "ibiscrank evacuate".
type evacuateCmd struct {
	changeFlags `embed:""`
	Domain      string `arg:"" optional:"" help:"Name of the failure domain."`
	Withdraw    bool   `help:"Withdraw the evacuation."`
	List        bool   `help:"List the failure domains, with evacuations, backend servers and running tasks."`
}

// Validate returns an error unless a failure domain or --list is given, but not both.
func (c *evacuateCmd) Validate() error {
	switch {
	case c.List && (c.Domain != "" || c.Withdraw):
		return errors.New("--list takes no failure domain and no --withdraw")
	case !c.List && c.Domain == "":
		return errors.New("name a failure domain, or use --list")
	}
	return nil
}

// Run lists failure domains, or requests or withdraws an evacuation. The reply says how many of the known daemons have
// it in force.
func (c *evacuateCmd) Run() error {
	if c.List {
		return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) ([]ibisadmin.DomainState, error) {
			return a.Evacuations(ctx)
		})
	}
	return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		if c.Withdraw {
			return a.WithdrawEvacuation(ctx, c.ChangeID, c.Domain)
		}
		return a.Evacuate(ctx, c.ChangeID, c.Domain)
	})
}
