package main

// configCmd is the command config.
type configCmd struct{}

// Run runs the command.
func (c *configCmd) Run() error { return errNotBuilt }
