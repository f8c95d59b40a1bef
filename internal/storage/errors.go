package storage

import (
	"errors"
	"fmt"
)

// ErrNoSpace is returned by Write when the disk is full. Nothing of the batch was written and the previous state is
// intact, so the same batch may be written again.
var ErrNoSpace = errors.New("storage: no space left on the disk")

// ErrPoisoned is returned by every write after a write or sync that failed for a reason other than a full disk.
var ErrPoisoned = errors.New("storage: an earlier write or sync failed, the node has to stop")

// ErrClosed is returned by every read and write after Close.
var ErrClosed = errors.New("storage: closed")

// FolderError reports why a data folder was refused. Nothing was written to the folder.
type FolderError struct {
	File   string // path of the file that does not match
	Field  string // the field of that file, or "file", "lock" or "content" for the file itself
	Found  string // the value in the file
	Wanted string // the value that the settings or the program require
	Remedy string // what the operator should do
}

// Error returns the error as one line.
func (e *FolderError) Error() string {
	return fmt.Sprintf("storage: %s: %s is %s, want %s; %s", e.File, e.Field, e.Found, e.Wanted, e.Remedy)
}

// DamageError reports a record or file that is missing or has a wrong checksum or format.
type DamageError struct {
	Record string // for example "group 3 entry 17"
	Reason string
	Cause  error // of the operating system; nil if there is none
}

// Unwrap returns the cause.
func (e *DamageError) Unwrap() error { return e.Cause }

// Error returns the error as one line.
func (e *DamageError) Error() string {
	return fmt.Sprintf("storage: %s is damaged: %s; replace this node as a learner under a new node ID, or restore a backup",
		e.Record, e.Reason)
}
