//go:build race

package node

// maxFleetSize is smaller here: the race detector ends the program if hundreds of nodes share one bubble's clock.
const maxFleetSize = 100
