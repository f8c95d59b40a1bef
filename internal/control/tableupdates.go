package control

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// packThresholdBytes is the size above which an update is sent packed.
	packThresholdBytes = 16 << 10
	// maximumFullTableLag is the number of versions by which the full table sent to new holders may be out of date. The
	// missing versions follow immediately as a delta. While many replicas register, the version rises continuously and
	// as many new holders may start.
	maximumFullTableLag = 200
)

// publishedUpdate is an update that is shared by all holders at its start version.
type publishedUpdate struct {
	update *wire.TableUpdate
	packed []byte // nil if the update is small
}

func publish(update *wire.TableUpdate) (*publishedUpdate, error) {
	published := &publishedUpdate{update: update}
	if proto.Size(update) <= packThresholdBytes {
		return published, nil
	}
	var err error
	published.packed, err = wire.PackUpdate(update)
	return published, err
}

// addTo puts the update into a reply to a holder.
func (u *publishedUpdate) addTo(reply *wire.SessionReply, acceptsPacked bool) {
	if acceptsPacked && u.packed != nil {
		reply.PackedUpdate = u.packed
		return
	}
	reply.Update = u.update
}

// tableUpdates builds each update once, regardless of the number of holders that need it. It is safe for concurrent
// use.
type tableUpdates struct {
	// read returns the changes of the applied table since version known.
	read func(known uint64) (*wire.TableUpdate, error)
	// contentVersion returns the newest version at which what an update brings up to date changed. Holders at that version
	// or a later one need no update.
	contentVersion func(*wire.TableUpdate) uint64

	makeMutex sync.Mutex // held while an update is built, so that it is built once

	mutex     sync.Mutex
	announced uint64                      // newest version that observe has reported
	current   uint64                      // newest content version seen
	previous  uint64                      // the one before; 0 if there was none
	deltas    map[uint64]*publishedUpdate // updates to current, by start version
	part      uint64                      // newest version at which the part for forwarding changed, as far as seen
	fullTable *publishedUpdate            // for holders without a table; at most maximumFullTableLag versions old
}

// newTableUpdates returns the updates of the whole table, which read returns.
func newTableUpdates(read func(known uint64) (*wire.TableUpdate, error)) *tableUpdates {
	return &tableUpdates{read: read, contentVersion: (*wire.TableUpdate).GetToVersion, deltas: map[uint64]*publishedUpdate{}}
}

// newForwardingUpdates returns the updates of the part of the table for forwarding, which read returns.
func newForwardingUpdates(read func(known uint64) (*wire.TableUpdate, error)) *tableUpdates {
	return &tableUpdates{read: read, contentVersion: (*wire.TableUpdate).GetForwardingVersion, deltas: map[uint64]*publishedUpdate{}}
}

// observe takes note of a content version and reports whether it is newer than those noted before.
func (u *tableUpdates) observe(version uint64) (newer bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.advance(version)
	newer = version > u.announced
	u.announced = max(u.announced, version)
	return newer
}

// advance makes version the newest content version unless a newer one is known. The caller holds the mutex.
func (u *tableUpdates) advance(version uint64) {
	if version <= u.current {
		return
	}
	u.previous, u.current = u.current, version
	clear(u.deltas)
}

// version returns the newest content version seen.
func (u *tableUpdates) version() uint64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.current
}

// forwardingVersion returns the newest version at which the part of the table for forwarding changed, as far as seen.
func (u *tableUpdates) forwardingVersion() uint64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.part
}

// refresh reads the table and reports whether there is a version that it has not reported yet. updateFrom may already
// have sent that version to a holder, but the other holders still have to be notified.
func (u *tableUpdates) refresh() (version uint64, newer bool, err error) {
	u.makeMutex.Lock()
	defer u.makeMutex.Unlock()
	known := u.version()
	update, err := u.read(known)
	if err != nil {
		return known, false, err
	}
	if update.GetToVersion() > known {
		published, err := publish(update)
		if err != nil {
			return known, false, err
		}
		u.store(known, published)
	}
	version = u.version()
	return version, u.observe(version), nil
}

// updateFrom returns the update for a holder at version known, or nil if the holder is up to date. The holder may need
// another update afterwards.
func (u *tableUpdates) updateFrom(known uint64) (*publishedUpdate, error) {
	known = u.shareStart(known)
	if found, done := u.cached(known); done {
		return found, nil
	}
	u.makeMutex.Lock()
	defer u.makeMutex.Unlock()
	if found, done := u.cached(known); done {
		return found, nil
	}
	update, err := u.read(known)
	if err != nil || update.GetToVersion() <= known {
		return nil, err
	}
	published, err := publish(update)
	if err != nil {
		return nil, err
	}
	u.store(known, published)
	return published, nil
}

// shareStart returns the version from which the update for a holder at version known starts. It is the same one for all
// holders that were up to date before the newest content, so that they share an update.
func (u *tableUpdates) shareStart(known uint64) uint64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.previous > 0 && known >= u.previous && known < u.current {
		return u.previous
	}
	return known
}

// cached returns the cached update that starts from version known. done is true if no update has to be built, either
// because it is cached or because none is needed.
func (u *tableUpdates) cached(known uint64) (found *publishedUpdate, done bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if known >= u.current {
		return nil, true
	}
	if found = u.deltas[known]; found != nil {
		return found, true
	}
	if known == 0 && u.fullTable != nil && u.contentVersion(u.fullTable.update)+maximumFullTableLag >= u.current {
		return u.fullTable, true
	}
	return nil, false
}

// store caches an update that starts from version known. An update to a new version invalidates the cached deltas.
func (u *tableUpdates) store(known uint64, published *publishedUpdate) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	content := u.contentVersion(published.update)
	u.advance(content)
	u.part = max(u.part, published.update.ForwardingVersion)
	if known == 0 {
		u.fullTable = published
	} else if content == u.current {
		u.deltas[known] = published
	}
}
