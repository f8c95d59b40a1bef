// Package compat names the levels of what the processes of a deployment say to each other and keep. Builds of several levels run side
// by side while machines are replaced; whatever an older build would misread waits until every member reads it.
//
// A process tells the highest level that it reads and writes (Member.speaks). The control group holds the level in force, which
// rises by one committed step once all present members speak it, and never falls. Processes learn the level in force with their
// lease.
//
// The package is pure.
package compat

import "strconv"

// Level is a version of messages, rows, log entries and snapshots together. A higher level includes the lower ones.
type Level uint32

// The levels.
const (
	// Base is the level of builds that name none.
	Base Level = iota
	// Shares adds the division of resources between processes, the weights and quotas of tenants, and the orders to executors.
	Shares
	// SnapshotParts adds snapshots whose state is in several files, and jobs that name the bound of what may be held.
	SnapshotParts

	// Newest is the level that this build speaks: the one declared last. Levels are added above it.
	Newest Level = iota - 1
)

// String names the level in logs and on the operators' pages.
func (l Level) String() string { return "level " + strconv.FormatUint(uint64(l), 10) }

// Includes tells whether what a level adds may be used while l is in force.
func (l Level) Includes(needed Level) bool { return l >= needed }

// Agreed returns the level in force as this process knows it: Base until it is told another one.
type Agreed func() Level
