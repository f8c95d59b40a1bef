// Package storage stores one node's durable state in one data folder: the log entries, hard states and snapshots of
// all its consensus groups, and the records of its peers.
//
// The folder holds a lock file, an identity file, one bbolt file and the files of the snapshots. Every record carries
// an xxhash checksum. A write is acknowledged only after it is synced. A failed write or sync poisons the store,
// because it is unknown what reached the disk: every later write fails and the node has to stop. The one exception is
// a full disk that is detected before the commit. The old state is then intact and the write may be retried.
package storage
