package weights

// Serving is what the replicas serve as the driver knows it: from their own accounts and from the orders that they have
// carried out. It is immutable.
type Serving struct {
	// Versions holds the version of each model at each replica.
	Versions map[string]map[string]uint64
	// Loading names, by replica, the model that it loads now: it begins no request for that one meanwhile.
	Loading map[string]string
}

// Serving returns what the replicas serve, while this process leads; nil otherwise. It is safe for concurrent use.
func (d *Driver) Serving() *Serving {
	if !d.config.Leading() {
		return nil
	}
	return d.known.Load()
}

// publish makes a new Serving of what Run holds.
func (d *Driver) publish() {
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
