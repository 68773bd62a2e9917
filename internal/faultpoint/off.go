//go:build !faults

package faultpoint

import "time"

// Fail is the error that a call is to fail with; nil: none.
func Fail(Call) error { return nil }

// Shorten is how many of n bytes a read may take.
func Shorten(n int) int { return n }

// WallStep is by how much the wall clock is off.
func WallStep() time.Duration { return 0 }
