package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"time"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisclient"
)

// operatorFlags are the flags of every command that calls a daemon with an operator's key.
type operatorFlags struct {
	Daemon      []string      `help:"Address of a daemon; repeat it to give several." default:"127.0.0.1:8080" placeholder:"IP:PORT"`
	OperatorKey string        `help:"The operator's key." env:"IBISCRANK_OPERATOR_KEY"`
	Within      time.Duration `help:"Give up after this time." default:"30s"`
}

// changeFlags are the flags of every command that changes something.
type changeFlags struct {
	operatorFlags `embed:""`
	ChangeID      string `help:"ID of the change; give the one that was named to repeat a command whose outcome is unknown." placeholder:"ID"`
}

func (f operatorFlags) admin() *ibisclient.Admin {
	return ibisclient.NewAdmin(f.Daemon, f.OperatorKey)
}

// call runs do within the time that the flags give, and prints what it returns or the refusal.
func call[T any](f operatorFlags, do func(ctx context.Context, a *ibisclient.Admin) (T, error)) error {
	v, err := within(f, do)
	if err != nil {
		return err
	}
	return printJSON(v)
}

// within runs do within the time that the flags give, and prints a refusal.
func within[T any](f operatorFlags, do func(ctx context.Context, a *ibisclient.Admin) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Within)
	defer cancel()
	v, err := do(ctx, f.admin())
	return v, operatorRefused(err)
}

// operatorRefused prints a refusal as JSON, with what changed meanwhile, before the command fails with it.
func operatorRefused(err error) error {
	refusal, ok := errors.AsType[*ibisadmin.Refusal](err)
	if !ok {
		return err
	}
	if printErr := printJSON(refusal); printErr != nil {
		return printErr
	}
	return err
}

// readJSON reads a file, or standard input when its name is "-".
func readJSON(name string, v any) error {
	f := os.Stdin
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return err
		}
		defer opened.Close()
		f = opened
	}
	dec := json.NewDecoder(f)
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
