package ibisjob_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisjob"
	"ibiscrank/ibiswork"
)

// TestJobTooLargeForARowIsRefused checks that a job is refused that couldn't be written to the table: the leader
// would try it forever, and no other job could be accepted.
func TestJobTooLargeForARowIsRefused(t *testing.T) {
	job := ibisjob.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Spec: strings.Repeat("x", ibisjob.MaxSpecBytes)}
	for range ibisjob.MaxSteps {
		job.Steps = append(job.Steps, ibisjob.Step{Tasks: 1, Size: ibiswork.Resources{MilliCPU: 100}})
	}
	assert.NilError(t, job.Check())
	job.Steps[0].Image = strings.Repeat("x", ibisjob.MaxBytes)
	assert.ErrorContains(t, job.Check(), "bytes")
	job.Steps[0].Image = ""
	for n := range job.Steps {
		for d := range n {
			job.Steps[n].DependsOn = append(job.Steps[n].DependsOn, d)
		}
	}
	assert.ErrorContains(t, job.Check(), "bytes")
}
