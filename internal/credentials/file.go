// Package credentials keeps the tokens and certificates of a process: it reads them from files, follows
// changes of the files while the process runs, checks what others send and secures connections.
package credentials

import (
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// checkInterval is how often at most a file is looked at for a change.
const checkInterval = time.Second

// watched is a value made from files. It follows their changes; while the new content cannot be used, the
// old value stays in force.
type watched[T any] struct {
	paths []string
	make  func() (T, error)
	log   *logrus.Entry

	mutex   sync.Mutex
	value   T
	seen    []stamp
	checked time.Time
}

// stamp tells two versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// newWatched makes the value for the first time.
func newWatched[T any](log *logrus.Entry, build func() (T, error), paths ...string) (*watched[T], error) {
	w := &watched[T]{paths: paths, make: build, log: log, checked: time.Now()}
	w.seen = stamps(paths)
	value, err := build()
	if err != nil {
		return nil, err
	}
	w.value = value
	return w, nil
}

func stamps(paths []string) []stamp {
	found := make([]stamp, len(paths))
	for i, path := range paths {
		if info, err := os.Stat(path); err == nil {
			found[i] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return found
}

// get returns the value, made anew if a file has changed.
func (w *watched[T]) get() T {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := time.Now(); now.Sub(w.checked) >= checkInterval {
		w.checked = now
		w.refresh()
	}
	return w.value
}

// refresh looks at the files now. The caller holds the mutex.
func (w *watched[T]) refresh() {
	current := stamps(w.paths)
	for i := range current {
		if current[i] == w.seen[i] {
			continue
		}
		w.seen = current
		value, err := w.make()
		if err != nil {
			w.log.Warnf("changed credentials are not taken over, the old ones stay in force: %s", trace.UserMessage(err))
			return
		}
		w.value = value
		w.log.Infof("took over changed credentials from %s", w.paths[i])
		return
	}
}

// read reads a whole file; errors name it.
func read(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	return content, nil
}
