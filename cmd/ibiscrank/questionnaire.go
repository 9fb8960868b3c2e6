package main

// questionnaireCmd is the command questionnaire.
type questionnaireCmd struct{}

// Run runs the command.
func (c *questionnaireCmd) Run() error { return errNotBuilt }
