package main

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"ibiscrank/ibisclient"
)

// callerFlags are the flags of every command that calls a daemon with the key of a team.
type callerFlags struct {
	Daemon []string      `help:"Address of a daemon; repeat it to give several." default:"127.0.0.1:8080" placeholder:"IP:PORT"`
	Key    string        `help:"Key of the team; not needed for an open queue." env:"IBISCRANK_KEY"`
	Within time.Duration `help:"Timeout of the command." default:"1m"`
}

func (f callerFlags) caller() *ibisclient.Caller { return ibisclient.NewCaller(f.Daemon, f.Key) }

// printJSON writes v to standard output as indented JSON.
func printJSON(v any) error { return writeJSON(os.Stdout, v) }

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
