package main

import (
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisload"
)

func TestLoadFlags(t *testing.T) {
	var c cli
	parser, err := kong.New(&c)
	assert.NilError(t, err)
	_, err = parser.Parse([]string{"load", "--mix=mandacaru", "--team=a=ka", "--team=b=kb=2.5", "--queue=q=3", "--rate=7"})
	assert.NilError(t, err)
	opts, err := c.Load.options()
	assert.NilError(t, err)
	assert.NilError(t, opts.Check())
	assert.Equal(t, opts.Mix.Name, "mandacaru")
	assert.DeepEqual(t, opts.Teams, []ibisload.Team{{Name: "a", Key: "ka", Weight: 1}, {Name: "b", Key: "kb", Weight: 2.5}, {Name: "q", Queue: "q", Weight: 3}})
}

func TestLoadRefusesBadTeams(t *testing.T) {
	for _, team := range []string{"a", "=k", "a=", "a=k=x", "a=k=-1"} {
		_, err := (&loadCmd{Team: []string{team}}).teams()
		assert.ErrorContains(t, err, "--team")
	}
}
