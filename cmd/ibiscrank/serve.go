package main

// serveCmd is the command serve.
type serveCmd struct{}

// Run runs the command.
func (c *serveCmd) Run() error { return errNotBuilt }
