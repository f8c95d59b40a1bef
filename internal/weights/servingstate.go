package weights

// servingState holds what the replicas serve while it changes, and counts the replicas of each model by version. It is
// not safe for concurrent use.
type servingState struct {
	current *Serving
	edit    *servingEdit
	counts  map[string]map[uint64]int // number of replicas by model and version
}

func newServingState() *servingState {
	empty := newServing()
	return &servingState{current: empty, edit: empty.edit(), counts: map[string]map[uint64]int{}}
}

// get returns what a replica serves of a model. Version 0 means that nothing is known.
func (s *servingState) get(model, replica string) Served {
	served, _ := s.edit.served.Get([]byte(servingKey(model, replica)))
	return served
}

// setVersion sets the version that a replica serves; 0 forgets the replica.
func (s *servingState) setVersion(model, replica string, version uint64) {
	before := s.get(model, replica)
	if before.Version == version {
		return
	}
	s.count(model, before.Version, -1)
	s.count(model, version, 1)
	s.edit.set(model, replica, Served{Version: version, Loading: before.Loading && version > 0})
}

// setLoading sets whether a replica is loading a version of a model. It has no effect on a replica that is not known.
func (s *servingState) setLoading(model, replica string, loading bool) {
	if before := s.get(model, replica); before.Version > 0 {
		s.edit.set(model, replica, Served{Version: before.Version, Loading: loading})
	}
}

func (s *servingState) count(model string, version uint64, change int) {
	if version == 0 {
		return
	}
	versions := s.counts[model]
	if versions == nil {
		versions = map[uint64]int{}
		s.counts[model] = versions
	}
	if versions[version] += change; versions[version] == 0 {
		delete(versions, version)
	}
}

// finish returns the current state as a Serving. Further changes go into the next one.
func (s *servingState) finish() *Serving {
	s.current = s.edit.finish()
	s.edit = s.current.edit()
	return s.current
}
