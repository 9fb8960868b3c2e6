package main

// cancelCmd is the command cancel.
type cancelCmd struct{}

// Run runs the command.
func (c *cancelCmd) Run() error { return errNotBuilt }
