// Package compat defines the levels of the messages that processes exchange and of the data that they store. Builds
// of different levels run side by side while machines are replaced. Anything that an older build would misread is
// held back until every member can read it.
//
// A process reports the highest level that it reads and writes (Member.speaks). The control group holds the level in
// force. It rises by one committed step once all present members speak the higher level, and it never falls.
// Processes learn the level in force with their lease.
//
// The package uses no clock and does no I/O.
package compat

import "strconv"

// Level is a common version of messages, table rows, log entries and snapshots. A higher level includes the lower
// ones.
type Level uint32

// The levels.
const (
	// Base is the level of builds that report none.
	Base Level = iota
	// Shares adds the division of resources between processes, the weights and quotas of tenants, and the orders to
	// executors.
	Shares
	// SnapshotParts adds snapshots whose state is split into several files, and jobs that carry the limit on what may
	// be stored.
	SnapshotParts
	// TableScopes adds sessions that follow a part of the table and of the members.
	TableScopes

	// Newest is the level that this build speaks, which is the last one declared above. New levels are inserted
	// before it.
	Newest Level = iota - 1
)

// String returns the level as shown in logs and on the operator pages.
func (l Level) String() string { return "level " + strconv.FormatUint(uint64(l), 10) }

// Includes reports whether features of level needed may be used while l is in force.
func (l Level) Includes(needed Level) bool { return l >= needed }

// Agreed returns the level in force as known to this process. It is Base until the process learns another one.
type Agreed func() Level
