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

// operatorFlags are the flags of every command that calls a daemon with the key of an operator.
type operatorFlags struct {
	Daemon      []string      `help:"Address of a daemon; repeat it to give several." default:"127.0.0.1:8080" placeholder:"IP:PORT"`
	OperatorKey string        `help:"Key of the operator." env:"IBISCRANK_OPERATOR_KEY"`
	Within      time.Duration `help:"Timeout of the command." default:"30s"`
}

// changeFlags are the flags of every command that makes a change through a daemon.
type changeFlags struct {
	operatorFlags `embed:""`
	ChangeID      string `help:"ID of the change. To repeat a command whose outcome is unknown, give the ID in its error." placeholder:"ID"`
}

func (f operatorFlags) admin() *ibisclient.Admin {
	return ibisclient.NewAdmin(f.Daemon, f.OperatorKey)
}

// callAndPrint runs do with the timeout of the flags and prints its result, or the refusal, as JSON.
func callAndPrint[T any](f operatorFlags, do func(ctx context.Context, a *ibisclient.Admin) (T, error)) error {
	v, err := callAdmin(f, do)
	if err != nil {
		return err
	}
	return printJSON(v)
}

// callAdmin runs do with the timeout of the flags. It prints a refusal as JSON and returns it as the error.
func callAdmin[T any](f operatorFlags, do func(ctx context.Context, a *ibisclient.Admin) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Within)
	defer cancel()
	v, err := do(ctx, f.admin())
	return v, printOperatorRefusal(err)
}

// printOperatorRefusal prints err as JSON if it is a refusal, and returns err. A refusal of a stale change
// includes the current version of the item and the change that made it.
func printOperatorRefusal(err error) error {
	refusal, ok := errors.AsType[*ibisadmin.Refusal](err)
	if !ok {
		return err
	}
	if printErr := printJSON(refusal); printErr != nil {
		return printErr
	}
	return err
}

// readJSON decodes the named file, or standard input when the name is "-", into v. Unknown fields are errors.
func readJSON(name string, v any) error {
	f := os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		f = file
	}
	dec := json.NewDecoder(f)
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
