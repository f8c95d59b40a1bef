package storage

import (
	"errors"
	"fmt"
)

// ErrNoSpace is returned by Write when the disk is full. Nothing of the batch was written and what was
// there before still is; the same batch may be written again.
var ErrNoSpace = errors.New("storage: no space left on the disk")

// ErrPoisoned is returned by every write after one that failed in an unknown way.
var ErrPoisoned = errors.New("storage: an earlier write or sync failed, the node has to stop")

// ErrClosed is returned after Close.
var ErrClosed = errors.New("storage: closed")

// FolderError says why a data folder is refused. Nothing was written to it.
type FolderError struct {
	File   string // the file that does not fit
	Field  string // the field in it
	Found  string // what stands there
	Wanted string // what the settings or the program ask for
	Remedy string // what to do
}

// Error implements error in one line.
func (e *FolderError) Error() string {
	return fmt.Sprintf("storage: %s: %s is %s, want %s; %s", e.File, e.Field, e.Found, e.Wanted, e.Remedy)
}

// DamageError names a record whose checksum or form is wrong.
type DamageError struct {
	Record string // for example "group 3 entry 17"
	Reason string
}

// Error implements error in one line.
func (e *DamageError) Error() string {
	return fmt.Sprintf("storage: %s is damaged: %s; replace this node as a learner under a new node ID, or restore a backup",
		e.Record, e.Reason)
}
