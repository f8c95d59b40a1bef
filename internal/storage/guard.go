package storage

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
)

// catchPanics runs a function that reads the data file and returns a panic or memory fault, which a damaged page can
// cause in bbolt, as a DamageError.
func catchPanics(path string, read func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = &DamageError{Record: path, Reason: fmt.Sprint(cause)}
		}
	}()
	return read()
}

// verifyDataFile reads every page and record of a data file without writing to it. It must run before the file is
// opened for writing, because bbolt then rebuilds its free list in a goroutine of its own, where a damaged page would
// end the process. See pageChecker.
func verifyDataFile(path string) error {
	info, err := os.Stat(path)
	if err != nil || info.Size() == 0 {
		return nil // the file is created later
	}
	return catchPanics(path, func() error {
		database, err := openReadOnly(path)
		if err != nil {
			return err
		}
		defer database.Close()
		return database.View(func(tx *bbolt.Tx) error {
			if err := checkPages(path, database, tx); err != nil {
				return err
			}
			return readAllRecords(tx)
		})
	})
}

// checkPages validates the format of every page in use.
func checkPages(path string, database *bbolt.DB, tx *bbolt.Tx) error {
	file, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	pageSize := database.Info().PageSize
	checker := &pageChecker{file: file, pageSize: pageSize, pageCount: uint64(tx.Size()) / uint64(pageSize), visited: map[uint64]bool{}}
	if err := checker.checkTree(uint64(tx.Cursor().Bucket().Root()), 0); err != nil {
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

// readAllRecords reads every page of every bucket and refuses empty keys.
func readAllRecords(tx *bbolt.Tx) error {
	return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
		return bucket.ForEach(func(key, record []byte) error {
			if len(key) == 0 {
				return &DamageError{Record: string(name), Reason: "it has an empty key"}
			}
			return nil
		})
	})
}
