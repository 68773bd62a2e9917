//go:build !race

package node

// maxFleetSize is the largest number of nodes in the tests of a fleet.
const maxFleetSize = 350
