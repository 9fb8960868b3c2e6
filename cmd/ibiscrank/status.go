package main

// statusCmd is the command status.
type statusCmd struct{}

// Run runs the command.
func (c *statusCmd) Run() error { return errNotBuilt }
