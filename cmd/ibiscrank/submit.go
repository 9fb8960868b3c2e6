package main

import (
	"context"
	"os"
	"time"

	"ibiscrank/ibiswork"
)

// submitCmd is the command submit.
type submitCmd struct {
	callerFlags `embed:""`

	ID           string        `help:"UUID of version 7 to submit under; made when absent." placeholder:"UUID"`
	Queue        string        `help:"Open queue, when there is no key."`
	Class        string        `help:"Service, Batch, Gang or Interactive." enum:"Service,Batch,Gang,Interactive" default:"Batch"`
	Kind         string        `help:"Groups requests of like size."`
	MilliCPU     int64         `name:"milli-cpu" help:"Thousandths of a core for one task." default:"100"`
	MemoryMB     int64         `name:"memory-mb" help:"MiB of memory for one task." default:"64"`
	Accelerators int64         `help:"Accelerators for one task."`
	Slots        int64         `help:"Slots for one task." default:"1"`
	Tasks        int           `help:"Tasks of a gang."`
	RunTime      time.Duration `help:"Declared run time."`
	Deadline     time.Duration `help:"Time from now to the latest useful answer."`
	Idempotent   bool          `help:"The request may be run again."`
	Urgent       bool          `help:"Start the request before others of its team."`
	Payload      string        `help:"Payload as text." xor:"payload"`
	PayloadFile  string        `help:"File with the payload." type:"existingfile" xor:"payload"`
	Wait         bool          `help:"Wait for the answer."`
}

// Run submits the request and prints its status or its answer.
func (c *submitCmd) Run() error {
	req, err := c.request()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	if c.Wait {
		answer, err := c.caller().Run(ctx, req)
		if err != nil {
			return refused(err)
		}
		return printJSON(answer)
	}
	const daemonDecides = -1
	st, err := c.caller().Submit(ctx, req, daemonDecides)
	if err != nil {
		return refused(err)
	}
	return printJSON(st)
}

// request is the request that the flags describe.
func (c *submitCmd) request() (ibiswork.Request, error) {
	payload := []byte(c.Payload)
	if c.PayloadFile != "" {
		b, err := os.ReadFile(c.PayloadFile)
		if err != nil {
			return ibiswork.Request{}, err
		}
		payload = b
	}
	id := ibiswork.ID(c.ID)
	if id == "" {
		id = ibiswork.NewID()
	}
	req := ibiswork.Request{
		ID:    id,
		Queue: c.Queue,
		Class: ibiswork.Class(c.Class),
		Kind:  c.Kind,
		Resources: ibiswork.Resources{
			MilliCPU:     c.MilliCPU,
			MemoryMB:     c.MemoryMB,
			Accelerators: c.Accelerators,
			Slots:        c.Slots,
		},
		Tasks:      c.Tasks,
		RunTimeMS:  c.RunTime.Milliseconds(),
		DeadlineMS: c.Deadline.Milliseconds(),
		Idempotent: c.Idempotent,
		Urgent:     c.Urgent,
		Payload:    payload,
	}
	return req, req.Check()
}

// refused prints a refusal as JSON before the command fails with it.
func refused(err error) error {
	refusal := ibiswork.AsRefusal(err)
	if printErr := printJSON(refusal); printErr != nil {
		return printErr
	}
	return refusal
}
