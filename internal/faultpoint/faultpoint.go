// Package faultpoint lets a build of the program with the tag "faults" fail system calls on purpose and step its wall
// clock, for soak tests: Go makes its system calls itself, so that no preloaded library could. In all other builds its
// functions do nothing.
package faultpoint

// Call names the calls that can be made to fail.
type Call string

// The calls, by the names that the environment variable has for them.
const (
	Accept Call = "accept" // accept(2) fails for a moment
	Dial   Call = "dial"   // socket(2) or connect(2) does
	Config Call = "config" // the configuration can't be read
	Folder Call = "folder" // the folder of an upgrade can't be read or written
	Read   Call = "read"   // read(2) is short, or fails for a moment
	Write  Call = "write"  // write(2) fails for a moment
)

// Variable is the environment variable that such a build goes by, such as
// "seed=7,accept=0.01,dial=0.02,step=-3600s@20s,step=5s@30s": the part of the calls that fail, and steps of the wall
// clock at times after the start.
const Variable = "WAYHOLD_FAULTS"
