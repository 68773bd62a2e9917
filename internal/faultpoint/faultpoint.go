// Package faultpoint injects system call failures and wall clock steps into builds with the tag "faults", for soak tests.
// A preloaded library could not do so, since Go makes system calls directly. In all other builds the functions do nothing.
package faultpoint

// Call names a kind of call that can be made to fail.
type Call string

// The calls, as they are named in the environment variable.
const (
	Accept Call = "accept" // accept(2) fails temporarily
	Dial   Call = "dial"   // socket(2) or connect(2) fails
	Config Call = "config" // reading the configuration fails
	Folder Call = "folder" // reading or writing the folder that a node's processes share during an upgrade fails
	Read   Call = "read"   // read(2) is short or fails temporarily
	Write  Call = "write"  // write(2) fails temporarily
)

// EnvVar is the environment variable that configures the faults, for example
// "seed=7,accept=0.01,dial=0.02,step=-3600s@20s,step=5s@30s": the fraction of each call that fails, and steps of the
// wall clock with the times after the start at which they happen.
const EnvVar = "WAYHOLD_FAULTS"
