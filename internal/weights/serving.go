package weights

import (
	"math/rand/v2"
	"strings"

	"github.com/gravitational/trace"
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"github.com/tamarindring/tamarindring/internal/registry"
)

// Served is what a replica serves of a model.
type Served struct {
	Version uint64 // weight version
	// Loading is set while the replica loads a version of the model. It starts no requests for the model meanwhile.
	Loading bool
}

// Serving holds the versions that the replicas serve, as known to the driver from their reports and from completed
// orders. It is immutable. Successive ones of an epoch share what has not changed, and know what has.
type Serving struct {
	epoch    uint64 // differs between the leaderships and surveys that the values come from; never 0
	sequence uint64 // number of changes since the start of the epoch
	served   *iradix.Tree[Served]
	changes  []string // keys of the latest changes, oldest first; at most maximumServingChanges
}

// maximumServingChanges bounds the changes that a Serving knows. A reader that is further behind gets all values.
const maximumServingChanges = 2048

// newServing returns an empty Serving of a new epoch.
func newServing() *Serving {
	return &Serving{epoch: max(rand.Uint64(), 1), served: iradix.New[Served]()}
}

// servingKey returns the key of a model and replica instance in Serving.served. Model names contain no zero byte.
func servingKey(model, replica string) string { return model + "\x00" + replica }

func splitServingKey(key string) (model, replica string) {
	model, replica, _ = strings.Cut(key, "\x00")
	return model, replica
}

// NewServing builds a Serving from reported versions by instance. It contains no loads, since reports don't tell them.
func NewServing(reports map[string][]registry.ModelVersion) *Serving {
	edit := newServing().edit()
	for instance, models := range reports {
		for _, one := range models {
			edit.set(one.Model, instance, Served{Version: one.Number})
		}
	}
	return edit.finish()
}

// HasVersions reports whether the state of any replica is known. It may be called on nil.
func (s *Serving) HasVersions() bool { return s != nil && s.served.Len() > 0 }

// Replicas returns what the replicas serve of a model, by instance.
func (s *Serving) Replicas(model string) map[string]Served {
	found := map[string]Served{}
	if s == nil {
		return found
	}
	s.served.Root().WalkPrefix([]byte(servingKey(model, "")), func(key []byte, served Served) bool {
		_, replica := splitServingKey(string(key))
		found[replica] = served
		return false
	})
	return found
}

// Replica returns what a replica serves of a model. Version 0 means that nothing is known. It may be called on nil.
func (s *Serving) Replica(model, replica string) Served {
	if s == nil {
		return Served{}
	}
	served, _ := s.served.Get([]byte(servingKey(model, replica)))
	return served
}

// ServingPosition identifies a Serving, so that its holder can be told what has changed since. The zero position is that
// of a holder of none.
type ServingPosition struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Position returns the position of a Serving, which may be nil.
func (s *Serving) Position() ServingPosition {
	if s == nil {
		return ServingPosition{}
	}
	return ServingPosition{s.epoch, s.sequence}
}

// ServingUpdate moves a holder to a later Serving.
type ServingUpdate struct {
	From ServingPosition `json:"from"` // the zero position: the update holds all values
	To   ServingPosition `json:"to"`
	// Versions holds the changed versions by model and replica; 0: no longer known.
	Versions map[string]map[string]uint64 `json:"versions"`
	// Loading lists the replicas in Versions that are loading a version of the model, by model.
	Loading map[string][]string `json:"loading,omitempty"`
}

// UpdateFrom returns the update for a holder at a position: the changes since then, or all values if those are not known.
func (s *Serving) UpdateFrom(held ServingPosition) *ServingUpdate {
	update := &ServingUpdate{From: held, To: s.Position(), Versions: map[string]map[string]uint64{}, Loading: map[string][]string{}}
	if missing := s.sequence - held.Sequence; held.Epoch == s.epoch && held.Sequence <= s.sequence && missing <= uint64(len(s.changes)) {
		for _, key := range s.changes[uint64(len(s.changes))-missing:] {
			served, _ := s.served.Get([]byte(key))
			update.add(key, served)
		}
		return update
	}
	update.From = ServingPosition{}
	s.served.Root().Walk(func(key []byte, served Served) bool {
		update.add(string(key), served)
		return false
	})
	return update
}

// IsWhole reports whether the update holds all values, so that any other value that its receiver holds is out of date.
func (u *ServingUpdate) IsWhole() bool { return u.From == ServingPosition{} }

// add adds a value. A later value of the same key is the same one.
func (u *ServingUpdate) add(key string, served Served) {
	model, replica := splitServingKey(key)
	if u.Versions[model] == nil {
		u.Versions[model] = map[string]uint64{}
	}
	if _, listed := u.Versions[model][replica]; listed {
		return
	}
	u.Versions[model][replica] = served.Version
	if served.Loading {
		u.Loading[model] = append(u.Loading[model], replica)
	}
}

// Each calls visit with each changed value. Version 0 means that nothing is known any more.
func (u *ServingUpdate) Each(visit func(model, replica string, served Served)) {
	for model, versions := range u.Versions {
		loading := make(map[string]bool, len(u.Loading[model]))
		for _, replica := range u.Loading[model] {
			loading[replica] = true
		}
		for replica, version := range versions {
			visit(model, replica, Served{Version: version, Loading: loading[replica]})
		}
	}
}

// Apply returns the Serving after an update. The receiver may be nil. It returns trace.CompareFailed if the update starts
// from another position.
func (s *Serving) Apply(update *ServingUpdate) (*Serving, error) {
	base := s
	if update.IsWhole() {
		base = &Serving{epoch: update.To.Epoch, served: iradix.New[Served]()}
	} else if update.From != s.Position() {
		return nil, trace.CompareFailed("the update starts at %+v, held is %+v", update.From, s.Position())
	}
	edit := base.edit()
	update.Each(edit.set)
	next := edit.finish()
	next.sequence = update.To.Sequence
	return next, nil
}

// servingEdit builds the next Serving of an epoch.
type servingEdit struct {
	before  *Serving
	served  *iradix.Txn[Served]
	changes []string
}

func (s *Serving) edit() *servingEdit { return &servingEdit{before: s, served: s.served.Txn()} }

// set sets what a replica serves of a model. Version 0 removes it.
func (e *servingEdit) set(model, replica string, served Served) {
	key := servingKey(model, replica)
	known, listed := e.served.Get([]byte(key))
	if listed && known == served || !listed && served.Version == 0 {
		return
	}
	if served.Version == 0 {
		e.served.Delete([]byte(key))
	} else {
		e.served.Insert([]byte(key), served)
	}
	e.changes = append(e.changes, key)
}

// finish returns the next Serving. The edit must not be used afterwards.
func (e *servingEdit) finish() *Serving {
	changes := append(e.before.changes[:len(e.before.changes):len(e.before.changes)], e.changes...)
	changes = changes[max(0, len(changes)-maximumServingChanges):]
	return &Serving{epoch: e.before.epoch, sequence: e.before.sequence + uint64(len(e.changes)),
		served: e.served.Commit(), changes: changes}
}

// Serving returns the versions served by the replicas while this process leads, and nil otherwise. It is safe for
// concurrent use.
func (d *Driver) Serving() *Serving {
	if !d.config.IsLeader() {
		return nil
	}
	return d.published.Load()
}

// publish publishes the current state as a Serving once the replicas were surveyed during this leadership. Before the
// survey only a few replicas have reported. A reader that took these for all of them would try the remaining ones
// needlessly, so nothing is published until then and an earlier, empty Serving is withdrawn.
func (d *Driver) publish() {
	serving := d.served.finish()
	if serving.HasVersions() && d.surveyedTenure.Load() != d.tenure {
		d.published.Store(nil)
		return
	}
	d.published.Store(serving)
}
