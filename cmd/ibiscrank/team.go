package main

// teamCmd is the command team.
type teamCmd struct{}

// Run runs the command.
func (c *teamCmd) Run() error { return errNotBuilt }
