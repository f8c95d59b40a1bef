package storage

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
)

// guarded runs a read of the data file and turns a panic or a memory fault, which bbolt answers a
// damaged page with, into an error.
func guarded(path string, read func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = &DamageError{Record: path, Reason: fmt.Sprint(cause)}
		}
	}()
	return read()
}

// verify reads every page and record of a data file without writing to it. It goes before the open for
// writing, which rebuilds the free list and would panic in a goroutine of bbolt's on a damaged page: see pageWalk.
func verify(path string) error {
	info, err := os.Stat(path)
	if err != nil || info.Size() == 0 {
		return nil // about to be made
	}
	return guarded(path, func() error {
		database, err := openReadOnly(path)
		if err != nil {
			return err
		}
		defer database.Close()
		return database.View(func(tx *bbolt.Tx) error {
			if err := checkPages(path, database, tx); err != nil {
				return err
			}
			return walk(tx)
		})
	})
}

// checkPages checks the form of every page in use.
func checkPages(path string, database *bbolt.DB, tx *bbolt.Tx) error {
	file, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	pageSize := database.Info().PageSize
	walk := &pageWalk{file: file, pageSize: pageSize, end: uint64(tx.Size()) / uint64(pageSize), seen: map[uint64]bool{}}
	if err := walk.visit(uint64(tx.Cursor().Bucket().Root()), 0); err != nil {
		return &DamageError{Record: path, Reason: err.Error()}
	}
	return nil
}

func openReadOnly(path string) (*bbolt.DB, error) {
	database, err := bbolt.Open(path, fileMode, &bbolt.Options{ReadOnly: true, Timeout: openTimeout})
	if err != nil {
		return nil, openError(path, err)
	}
	return database, nil
}

// walk touches every page of every bucket.
func walk(tx *bbolt.Tx) error {
	return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
		return bucket.ForEach(func(key, record []byte) error {
			if len(key) == 0 {
				return &DamageError{Record: string(name), Reason: "it has an empty key"}
			}
			return nil
		})
	})
}
