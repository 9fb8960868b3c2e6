package main

// keyCmd is the command key.
type keyCmd struct{}

// Run runs the command.
func (c *keyCmd) Run() error { return errNotBuilt }
