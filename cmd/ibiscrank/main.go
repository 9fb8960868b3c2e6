// Command ibiscrank is the daemon and the operators' and callers' tool of the scheduler.
package main

import "github.com/alecthomas/kong"

// cli is every command of the program; each runs itself.
type cli struct {
	Serve         serveCmd         `cmd:"" help:"Run the daemon of one entry VM."`
	Platform      platformCmd      `cmd:"" help:"Run the daemon of one entry VM on the platform."`
	Check         checkCmd         `cmd:"" help:"Check a settings file without starting anything."`
	Submit        submitCmd        `cmd:"" help:"Submit a request."`
	Status        statusCmd        `cmd:"" help:"Show how far a request has come."`
	Cancel        cancelCmd        `cmd:"" help:"Cancel a request."`
	Team          teamCmd          `cmd:"" help:"Create, change and list teams."`
	Key           keyCmd           `cmd:"" help:"Issue, withdraw and list keys."`
	Config        configCmd        `cmd:"" help:"Show the configuration and its audit list."`
	Server        serverCmd        `cmd:"" help:"Set backend servers aside and return them."`
	Questionnaire questionnaireCmd `cmd:"" help:"Ask a new team about its work and generate its configuration."`
	Report        reportCmd        `cmd:"" help:"Report service-level burn and the state of the fleet."`
	Explain       explainCmd       `cmd:"" help:"Show what several daemons' logs tell of one request, in order of time."`
	Load          loadCmd          `cmd:"" help:"Generate an open-loop load and print what came of it."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("ibiscrank"), kong.Description("A cluster scheduler for unlike workloads on one fleet."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
