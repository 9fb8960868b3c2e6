// Package ibisproof proves what must always hold with real processes under failure. It consists of
// tests only: oracles that judge what backend servers recorded and what callers were answered, and one
// proof for each promise. docs/INVARIANTS.md lists them.
//
// Usage:
//
//	go test -count=1 -run TestKillHolder ./ibisproof
package ibisproof
