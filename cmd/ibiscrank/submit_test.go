package main

import (
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiswork"
)

func TestSubmitFlags(t *testing.T) {
	var c cli
	parser, err := kong.New(&c)
	assert.NilError(t, err)
	_, err = parser.Parse([]string{"submit", "--daemon=127.0.0.1:1", "--daemon=127.0.0.1:2", "--key=k", "--class=Gang",
		"--tasks=3", "--milli-cpu=500", "--run-time=2s", "--deadline=1m", "--payload=profile"})
	assert.NilError(t, err)
	assert.DeepEqual(t, c.Submit.Daemon, []string{"127.0.0.1:1", "127.0.0.1:2"})
	req, err := c.Submit.request()
	assert.NilError(t, err)
	assert.DeepEqual(t, req, ibiswork.Request{
		ID: req.ID, Class: ibiswork.Gang, Tasks: 3, RunTimeMS: 2000, DeadlineMS: 60_000, Payload: []byte("profile"),
		Resources: ibiswork.Resources{MilliCPU: 500, MemoryMB: 64, Slots: 1},
	})
}

func TestSubmitRefusesBadFlags(t *testing.T) {
	_, err := (&submitCmd{ID: "7", Class: "Batch", Tasks: 2}).request()
	assert.ErrorContains(t, err, `ID: work: "7" is not a UUID`)
	assert.ErrorContains(t, err, "Tasks: only a Gang has more than one task")
}
