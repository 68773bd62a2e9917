//go:build !race

package node

const largestFleet = 350
