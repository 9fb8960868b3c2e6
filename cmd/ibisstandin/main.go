// Command ibisstandin runs small stand-ins of the platform and of backend servers for tests and demos.
package main

import (
	"github.com/alecthomas/kong"
)

// cli is every command of the program; each runs itself.
type cli struct{}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("ibisstandin"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
