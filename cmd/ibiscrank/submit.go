package main

// submitCmd is the command submit.
type submitCmd struct{}

// Run runs the command.
func (c *submitCmd) Run() error { return errNotBuilt }
