package main

// reportCmd is the command report.
type reportCmd struct{}

// Run runs the command.
func (c *reportCmd) Run() error { return errNotBuilt }
