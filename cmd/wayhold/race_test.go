//go:build race

package main

// raceEnabled reports whether the race detector is on. It multiplies a process's memory use.
const raceEnabled = true
