package ibisharness

import "syscall"

// endWithParent makes a process end when the test process ends in whatever way.
func endWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
