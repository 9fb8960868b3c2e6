//go:build !linux

package ibisharness

import "syscall"

// endWithParent has no effect where processes cannot be tied to their parent.
func endWithParent() *syscall.SysProcAttr { return nil }
