package main

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"ibiscrank/ibisclient"
)

// callerFlags are the flags of every command that calls a daemon with a team's key.
type callerFlags struct {
	Daemon []string      `help:"Address of a daemon; repeat it to give several." default:"127.0.0.1:8080" placeholder:"IP:PORT"`
	Key    string        `help:"The team's key; none for open queues." env:"IBISCRANK_KEY"`
	Within time.Duration `help:"Give up after this time." default:"1m"`
}

func (f callerFlags) caller() *ibisclient.Caller { return ibisclient.NewCaller(f.Daemon, f.Key) }

// printJSON writes v indented on standard output.
func printJSON(v any) error { return writeJSON(os.Stdout, v) }

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
