package main

import (
	"context"
	"fmt"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisclient"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

// keyCmd is the command key.
type keyCmd struct {
	Issue            keyIssueCmd            `cmd:"" help:"Make a key for a team and show it once."`
	Withdraw         keyWithdrawCmd         `cmd:"" help:"Withdraw a key of a team."`
	List             keyListCmd             `cmd:"" help:"List the names of the keys of a team."`
	Operator         keyOperatorCmd         `cmd:"" help:"Create an operator, or replace an operator's key, and show it once."`
	WithdrawOperator keyWithdrawOperatorCmd `cmd:"" help:"Remove an operator with the key."`
	Hash             keyHashCmd             `cmd:"" help:"Make the first operator's key and its hash for the settings, without a daemon."`
}

// madeKey is a key that was made on the operator's machine.
type madeKey struct {
	Key  string             `json:"Key"`
	Hash ibisconfig.KeyHash `json:"Hash"`
}

// issuedKey is what a command prints once a key is in force.
type issuedKey struct {
	madeKey
	ibisconfig.Result
}

// issue runs a command that makes a key. After an unknown outcome it shows the key as well, because it
// may be in force.
func issue(f operatorFlags, do func(ctx context.Context, a *ibisclient.Admin) (string, ibisadmin.ChangeReply, error)) error {
	key := ""
	err := call(f, func(ctx context.Context, a *ibisclient.Admin) (issuedKey, error) {
		made, reply, err := do(ctx, a)
		key = made
		return issued(made, reply), err
	})
	if err != nil && !ibiswork.AsRefusal(err).NotRun {
		return fmt.Errorf("%w; the key, in case it is in force: %s", err, key)
	}
	return err
}

func issued(key string, reply ibisadmin.ChangeReply) issuedKey {
	return issuedKey{madeKey: madeKey{Key: key, Hash: ibisconfig.HashKey(key)}, Result: reply.Result}
}

type keyIssueCmd struct {
	operatorFlags `embed:""`
	Team          string `arg:"" help:"Name of the team."`
	Name          string `arg:"" help:"Name of the key, not secret."`
}

// Run issues the key.
func (c *keyIssueCmd) Run() error {
	return issue(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (string, ibisadmin.ChangeReply, error) {
		return a.IssueKey(ctx, "", c.Team, c.Name)
	})
}

type keyWithdrawCmd struct {
	changeFlags `embed:""`
	Team        string `arg:"" help:"Name of the team."`
	Name        string `arg:"" help:"Name of the key."`
}

// Run withdraws the key.
func (c *keyWithdrawCmd) Run() error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.WithdrawKey(ctx, c.ChangeID, c.Team, c.Name)
	})
}

type keyListCmd struct {
	operatorFlags `embed:""`
	Team          string `arg:"" help:"Name of the team."`
}

// Run lists the names of the keys.
func (c *keyListCmd) Run() error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) ([]string, error) {
		t, err := a.Team(ctx, c.Team)
		names := make([]string, len(t.Keys))
		for i, k := range t.Keys {
			names[i] = k.Name
		}
		return names, err
	})
}

type keyOperatorCmd struct {
	operatorFlags `embed:""`
	Name          string `arg:"" help:"Name of the operator."`
}

// Run makes the operator's key.
func (c *keyOperatorCmd) Run() error {
	return issue(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (string, ibisadmin.ChangeReply, error) {
		return a.PutOperator(ctx, "", c.Name)
	})
}

type keyWithdrawOperatorCmd struct {
	changeFlags `embed:""`
	Name        string `arg:"" help:"Name of the operator."`
}

// Run removes the operator.
func (c *keyWithdrawOperatorCmd) Run() error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.DeleteOperator(ctx, c.ChangeID, c.Name)
	})
}

type keyHashCmd struct{}

// Run prints a new key and its hash.
func (c *keyHashCmd) Run() error {
	key := ibisconfig.NewKey()
	return printJSON(madeKey{Key: key, Hash: ibisconfig.HashKey(key)})
}
