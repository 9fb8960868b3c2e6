package main

// checkCmd is the command check.
type checkCmd struct{}

// Run runs the command.
func (c *checkCmd) Run() error { return errNotBuilt }
