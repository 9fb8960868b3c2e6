// Command ibiscrank runs the scheduler's daemon and is the command-line client of its callers and operators.
//
// A backend server that is set aside, by an operator or after failures, gets no new work until it is returned
// to service.
//
// Usage:
//
//	ibiscrank serve daemon.json
//	ibiscrank submit --key KEY --payload TEXT --wait
//	ibiscrank report --operator-key KEY
package main

import "github.com/alecthomas/kong"

// cli holds the commands of the program; kong calls Run of the selected one.
type cli struct {
	Serve         serveCmd         `cmd:"" help:"Run a daemon on this VM."`
	Platform      platformCmd      `cmd:"" help:"Run a daemon on this VM as a service of the platform."`
	Check         checkCmd         `cmd:"" help:"Check a settings file without starting anything."`
	Submit        submitCmd        `cmd:"" help:"Submit a request."`
	Status        statusCmd        `cmd:"" help:"Show the status of a request."`
	Cancel        cancelCmd        `cmd:"" help:"Cancel a request."`
	Team          teamCmd          `cmd:"" help:"Create, change and list teams."`
	Key           keyCmd           `cmd:"" help:"Issue, withdraw and list keys."`
	Config        configCmd        `cmd:"" help:"Show the configuration and its audit log."`
	Server        serverCmd        `cmd:"" help:"Set backend servers aside, so that they get no new work, and return them to service."`
	Evacuate      evacuateCmd      `cmd:"" help:"Keep new work from all backend servers of a failure domain, withdraw that, or list failure domains."`
	Questionnaire questionnaireCmd `cmd:"" help:"Ask a new team about its work and generate its configuration."`
	Report        reportCmd        `cmd:"" help:"Report the burn rates of service-level objectives and the state of the fleet."`
	Explain       explainCmd       `cmd:"" help:"Show the lines of several daemons' logs that are relevant to one request, in order of time."`
	Load          loadCmd          `cmd:"" help:"Generate an open-loop load and print a report."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("ibiscrank"), kong.Description("A cluster scheduler for mixed workloads on one shared fleet."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
