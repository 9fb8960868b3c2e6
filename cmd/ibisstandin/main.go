// Command ibisstandin runs small stand-ins of the platform and of backend servers for tests and demos.
//
// Each command prints one line of JSON with its addresses once it listens, and ends on SIGTERM or SIGINT.
package main

import (
	"github.com/alecthomas/kong"
)

// cli is every command of the program; each runs itself.
type cli struct {
	Table   tableCmd   `cmd:"" help:"Run a table service with an object store."`
	Servers serversCmd `cmd:"" help:"Run backend servers and the list of their VMs."`
	All     allCmd     `cmd:"" help:"Run the table service, the backend servers and the list of VMs."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("ibisstandin"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
