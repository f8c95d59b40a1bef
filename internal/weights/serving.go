package weights

import "github.com/tamarindring/tamarindring/internal/registry"

// Serving is what the replicas serve as the driver knows it: from their own accounts and from the orders that they have
// carried out. It is immutable.
type Serving struct {
	// Versions holds the version of each model at each replica.
	Versions map[string]map[string]uint64
	// Loading names, by replica, the model that it loads now: it begins no request for that one meanwhile.
	Loading map[string]string
}

// Knows reports whether it tells of any replica.
func (s *Serving) Knows() bool { return s != nil && len(s.Versions) > 0 }

// Serving returns what the replicas serve, while this process leads; nil otherwise. It is safe for concurrent use.
func (d *Driver) Serving() *Serving {
	if !d.config.Leading() {
		return nil
	}
	return d.known.Load()
}

// ServingOf makes a Serving of what replicas told of themselves, by instance. What they load is not known of them.
func ServingOf(told map[string][]registry.ModelVersion) *Serving {
	made := &Serving{Versions: map[string]map[string]uint64{}, Loading: map[string]string{}}
	for instance, models := range told {
		for _, one := range models {
			if made.Versions[one.Model] == nil {
				made.Versions[one.Model] = map[string]uint64{}
			}
			made.Versions[one.Model][instance] = one.Number
		}
	}
	return made
}

// publish makes a new Serving of what Run holds, once the replicas were asked under this leadership: who takes the few that were
// heard by then for all would try out the others. Until then nothing is told, also where it was told before that no replica was
// heard.
func (d *Driver) publish() {
	if len(d.serving) > 0 && d.surveyed.Load() != d.tenure {
		d.known.Store(nil)
		return
	}
	made := &Serving{Versions: make(map[string]map[string]uint64, len(d.serving)), Loading: make(map[string]string, len(d.busy))}
	for model, replicas := range d.serving {
		made.Versions[model] = make(map[string]uint64, len(replicas))
		for replica, number := range replicas {
			made.Versions[model][replica] = max(number, d.loaded[served{replica, model}])
		}
	}
	for replica, model := range d.busy {
		made.Loading[replica] = model
	}
	d.known.Store(made)
}
