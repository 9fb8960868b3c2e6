//go:build !linux

package ibisharness

import "syscall"

// killWithParent has no effect on platforms without a parent death signal.
func killWithParent() *syscall.SysProcAttr { return nil }
