// Package ibisproof tests the invariants of the scheduler with real processes under injected faults. It
// contains only tests. Oracles compare the history that the backend servers recorded with the replies that
// callers received; most tests inject one kind of fault under load and then run all oracles.
// docs/INVARIANTS.md lists the invariants.
//
// Usage:
//
//	go test -count=1 -run TestKillHolder ./ibisproof
package ibisproof
