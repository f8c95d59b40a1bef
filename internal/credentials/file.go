// Package credentials loads the tokens and certificates of a process from files and follows changes of the files at
// run time. It checks the tokens of peers and secures connections with TLS.
package credentials

import (
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// checkInterval is the minimum time between two checks of a file for changes.
const checkInterval = time.Second

// reloader holds a value built from files and rebuilds it when they change. If the new content cannot be used, the
// old value stays in force. It is safe for concurrent use.
type reloader[T any] struct {
	paths []string          // files whose changes are followed
	make  func() (T, error) // builds the value from the files
	log   *logrus.Entry

	mutex     sync.Mutex
	value     T
	versions  []fileVersion // of the files at paths when the value was last built or a build failed
	lastCheck time.Time
}

// fileVersion identifies a version of a file by its modification time and size. It is zero for a file that cannot be
// read.
type fileVersion struct {
	modified time.Time
	size     int64
}

// newReloader builds the value for the first time. Errors are those of build.
func newReloader[T any](log *logrus.Entry, build func() (T, error), paths ...string) (*reloader[T], error) {
	r := &reloader[T]{paths: paths, make: build, log: log, lastCheck: time.Now()}
	r.versions = statFiles(paths)
	value, err := build()
	if err != nil {
		return nil, err
	}
	r.value = value
	return r, nil
}

// statFiles returns the present versions of the files.
func statFiles(paths []string) []fileVersion {
	found := make([]fileVersion, len(paths))
	for i, path := range paths {
		if info, err := os.Stat(path); err == nil {
			found[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return found
}

// get returns the value. It checks the files for changes first if the last check was checkInterval or longer ago.
func (r *reloader[T]) get() T {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := time.Now(); now.Sub(r.lastCheck) >= checkInterval {
		r.lastCheck = now
		r.refresh()
	}
	return r.value
}

// refresh rebuilds the value if a file has changed. The caller holds the mutex.
func (r *reloader[T]) refresh() {
	current := statFiles(r.paths)
	for i := range current {
		if current[i] == r.versions[i] {
			continue
		}
		r.versions = current
		value, err := r.make()
		if err != nil {
			r.log.Warnf("changed credentials cannot be used, the previous ones stay in force: %s", trace.UserMessage(err))
			return
		}
		r.value = value
		r.log.Infof("loaded changed credentials from %s", r.paths[i])
		return
	}
}

// readFile returns the content of a file. Errors: trace.BadParameter with the path.
func readFile(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	return content, nil
}
