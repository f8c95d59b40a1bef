package weights

import "github.com/tamarindring/tamarindring/internal/registry"

// Serving holds the versions that the replicas serve, as known to the driver from their reports and from completed
// orders. It is immutable.
type Serving struct {
	// Versions maps each model to the versions served, by replica instance.
	Versions map[string]map[string]uint64
	// Loading maps a replica instance to the model that it is loading. The replica starts no requests for that model
	// in the meantime.
	Loading map[string]string
}

// HasVersions reports whether the state of any replica is known. It may be called on nil.
func (s *Serving) HasVersions() bool { return s != nil && len(s.Versions) > 0 }

// Serving returns the versions served by the replicas while this process leads, and nil otherwise. It is safe for
// concurrent use.
func (d *Driver) Serving() *Serving {
	if !d.config.IsLeader() {
		return nil
	}
	return d.published.Load()
}

// NewServing builds a Serving from reported versions by instance. It contains no loads, since reports don't tell them.
func NewServing(reports map[string][]registry.ModelVersion) *Serving {
	serving := &Serving{Versions: map[string]map[string]uint64{}, Loading: map[string]string{}}
	for instance, models := range reports {
		for _, one := range models {
			if serving.Versions[one.Model] == nil {
				serving.Versions[one.Model] = map[string]uint64{}
			}
			serving.Versions[one.Model][instance] = one.Number
		}
	}
	return serving
}

// publish publishes the current state as a Serving once the replicas were surveyed during this leadership. Before the
// survey only a few replicas have reported. A reader that took these for all of them would try the remaining ones
// needlessly, so nothing is published until then and an earlier, empty Serving is withdrawn.
func (d *Driver) publish() {
	if len(d.serving) > 0 && d.surveyedTenure.Load() != d.tenure {
		d.published.Store(nil)
		return
	}
	serving := &Serving{Versions: make(map[string]map[string]uint64, len(d.serving)), Loading: make(map[string]string, len(d.loadingModels))}
	for model, replicas := range d.serving {
		serving.Versions[model] = make(map[string]uint64, len(replicas))
		for replica, number := range replicas {
			serving.Versions[model][replica] = max(number, d.loadedVersions[replicaModel{replica, model}])
		}
	}
	for replica, model := range d.loadingModels {
		serving.Loading[replica] = model
	}
	d.published.Store(serving)
}
