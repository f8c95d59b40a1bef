// Package storage keeps one node's durable state in one data folder: the entries, hard states and
// snapshots of all its consensus groups, and what it knows of its peers.
//
// The folder holds a lock file, an identity file and one bbolt file. Every record carries an xxhash
// checksum. A write is acknowledged only once it is synced. A failed write or sync poisons the store:
// nobody can tell what reached the disk, so every later write fails and the node has to stop. The one
// exception is a full disk that is found before the commit: the old state stands and the write may be
// repeated.
package storage
