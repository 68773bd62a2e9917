//go:build !faults

package faultpoint

import "time"

// Fail returns the error to inject into a call, or nil.
func Fail(Call) error { return nil }

// ShortenRead returns how many of n bytes a read may request.
func ShortenRead(n int) int { return n }

// WallOffset returns the current offset of the wall clock.
func WallOffset() time.Duration { return 0 }
