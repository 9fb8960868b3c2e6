package ibisharness

import "syscall"

// killWithParent makes the kernel kill a child process when the test process exits for any reason.
func killWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
