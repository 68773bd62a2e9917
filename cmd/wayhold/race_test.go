//go:build race

package main

// raceDetector multiplies what a process needs.
const raceDetector = true
