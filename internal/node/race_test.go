//go:build race

package node

// The race detector ends the program where hundreds of nodes share one bubble's clock.
const largestFleet = 100
