// Command ibisstandin simulates the platform's services and backend servers, for tests and demos.
//
// Each command prints one line of JSON with its addresses once it listens, and exits on SIGTERM or SIGINT.
//
// Usage:
//
//	ibisstandin all --count 24
package main

import (
	"github.com/alecthomas/kong"
)

// cli holds the commands of the program; kong calls Run of the selected one.
type cli struct {
	Table   tableCmd   `cmd:"" help:"Run a table service with an object store."`
	Servers serversCmd `cmd:"" help:"Run backend servers and their VM list service."`
	All     allCmd     `cmd:"" help:"Run the table service, the backend servers and the VM list service."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("ibisstandin"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
