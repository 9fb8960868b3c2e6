package ibisharness

import (
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Program is a program of this module that a test has started.
type Program struct{ p *process }

// StartProgram starts a program of this module with its output in logFile, and ends it with the test.
func StartProgram(t testing.TB, name, logFile, program string, args ...string) *Program {
	t.Helper()
	p, _ := start(t, name, logFile, false, filepath.Join(binaries(t), program), args...)
	t.Cleanup(func() {
		p.kill()
		showLog(t, name, logFile)
	})
	return &Program{p: p}
}

// Signal sends sig if the program still runs.
func (p *Program) Signal(sig syscall.Signal) { p.p.signal(sig) }

// Kill ends the program at once and waits for its end.
func (p *Program) Kill() { p.p.kill() }

// Running reports whether the program has not ended.
func (p *Program) Running() bool { return p.p.running() }

// Await waits for the end of the program.
func (p *Program) Await() error { return p.p.await() }

// NewLink opens a way to target that can be delayed, cut or silenced.
func NewLink(t testing.TB, name, target string) *Link { return newLink(t, name, "", target) }

// Eventually fails the test when holds does not become true in time.
func Eventually(t testing.TB, within time.Duration, what string, holds func() bool) {
	t.Helper()
	Await(t, within, what, func() (bool, any) { return holds(), nil })
}

// FreeAddress is a loopback address that nothing listens at and that no other call returns.
func FreeAddress(t testing.TB) string { return freeAddress(t) }
