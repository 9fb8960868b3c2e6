package ibisharness

import (
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Program is a running program of this module, started by a test.
type Program struct{ p *process }

// StartProgram starts a program of this module, appends its output to logFile, and kills it when the test
// ends. If the test fails, the end of logFile is printed.
func StartProgram(t testing.TB, name, logFile, program string, args ...string) *Program {
	t.Helper()
	p, _ := startProcess(t, name, logFile, false, filepath.Join(buildPrograms(t), program), args...)
	t.Cleanup(func() {
		p.kill()
		showLogOnFailure(t, name, logFile)
	})
	return &Program{p: p}
}

// Signal sends sig if the program is still running.
func (p *Program) Signal(sig syscall.Signal) { p.p.signal(sig) }

// Kill sends SIGKILL and waits until the program has exited.
func (p *Program) Kill() { p.p.kill() }

// Running reports whether the program has not exited yet.
func (p *Program) Running() bool { return p.p.running() }

// PID returns the ID of the process that was started last.
func (p *Program) PID() int { return p.p.cmd.Process.Pid }

// Await waits until the program has exited and returns the error of its exit status, or an error on timeout.
func (p *Program) Await() error { return p.p.await() }

// NewLink starts a proxy to target, a host:port, whose connections can be delayed, closed or silenced.
func NewLink(t testing.TB, name, target string) *Link { return newLink(t, name, "", target) }

// Eventually polls cond until it is true, and fails the test after timeout.
func Eventually(t testing.TB, timeout time.Duration, what string, cond func() bool) {
	t.Helper()
	Await(t, timeout, what, func() (bool, any) { return cond(), nil })
}

// FreeAddress returns a loopback address with a free port. Each call in a process returns a different one.
func FreeAddress(t testing.TB) string { return freeAddress(t) }
