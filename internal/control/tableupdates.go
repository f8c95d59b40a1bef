package control

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// packAbove is the size of an update, in bytes, from which on it is sent packed.
	packAbove = 16 << 10
	// wholeReuse is by how many versions the whole table may lag that new holders are sent; what is newer follows at once
	// as a delta. While many replicas register the version rises all the time, and as many holders may start.
	wholeReuse = 200
)

// publishedUpdate is one update, which serves all holders at the version that it starts from.
type publishedUpdate struct {
	update *wire.TableUpdate
	packed []byte // nil: it is small
}

func publish(update *wire.TableUpdate) (*publishedUpdate, error) {
	published := &publishedUpdate{update: update}
	if proto.Size(update) <= packAbove {
		return published, nil
	}
	var err error
	published.packed, err = wire.PackUpdate(update)
	return published, err
}

// put sets the update in a reply to a holder.
func (u *publishedUpdate) put(reply *wire.SessionReply, acceptsPacked bool) {
	if acceptsPacked && u.packed != nil {
		reply.PackedUpdate = u.packed
		return
	}
	reply.Update = u.update
}

// tableUpdates makes each update once, however many holders are to get it. It is safe for concurrent use.
type tableUpdates struct {
	// read returns what is newer than a version in the table as applied here.
	read func(known uint64) (*wire.TableUpdate, error)

	making    sync.Mutex // held while an update is made, so that it is made once
	announced uint64     // newest version that refresh reported; guarded by making

	mutex   sync.Mutex
	current uint64                      // newest version that was seen
	deltas  map[uint64]*publishedUpdate // to current, by the version that they start from
	whole   *publishedUpdate            // for holders without a table; may lag by wholeReuse versions
}

func newTableUpdates(read func(known uint64) (*wire.TableUpdate, error)) *tableUpdates {
	return &tableUpdates{read: read, deltas: map[uint64]*publishedUpdate{}}
}

// version is the newest version that was seen.
func (u *tableUpdates) version() uint64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.current
}

// refresh looks for a newer version, and reports whether there is one that it has not reported yet: a holder may have been
// sent it before, and the others wait to be told.
func (u *tableUpdates) refresh() (version uint64, newer bool, err error) {
	u.making.Lock()
	defer u.making.Unlock()
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
		u.keep(known, published)
	}
	version = u.version()
	newer = version > u.announced
	u.announced = version
	return version, newer, nil
}

// from returns what brings a holder of version known forward; nil if it has the newest. The holder may need another
// update after this one.
func (u *tableUpdates) from(known uint64) (*publishedUpdate, error) {
	if found, settled := u.held(known); settled {
		return found, nil
	}
	u.making.Lock()
	defer u.making.Unlock()
	if found, settled := u.held(known); settled {
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
	u.keep(known, published)
	return published, nil
}

// held returns the update from a version where it is made already; settled tells that nothing is to be made.
func (u *tableUpdates) held(known uint64) (found *publishedUpdate, settled bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if known >= u.current {
		return nil, true
	}
	if found = u.deltas[known]; found != nil {
		return found, true
	}
	if known == 0 && u.whole != nil && u.whole.update.ToVersion+wholeReuse >= u.current {
		return u.whole, true
	}
	return nil, false
}

// keep remembers an update that starts from a version. A newer one than was seen before ends the deltas to that.
func (u *tableUpdates) keep(known uint64, published *publishedUpdate) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	to := published.update.ToVersion
	if to > u.current {
		u.current = to
		clear(u.deltas)
	}
	if known == 0 {
		u.whole = published
	} else if to == u.current {
		u.deltas[known] = published
	}
}
