package schedule

import "time"

// version is the last known state of a model's weights on a replica.
type version struct {
	number  uint64
	tries   int           // runs started while the number was this one, for items that require a newer version
	heardAt time.Duration // when the version was last heard, or when the last of these runs started
	// reported is when the component that orders weight loads last reported the version; 0: never. loading is true if
	// that report said that the replica is loading another version.
	reported time.Duration
	loading  bool
}

// reportTTL is how long a report of the component that orders weight loads counts. Afterwards replicas with old
// weights are tried again.
const reportTTL = 2 * time.Second

// SetServedVersion records what the component that orders weight loads knows about a replica: the version of a model
// that it serves, and whether it is loading another one. While a replica loads a version it starts no item of that
// model.
func (s *Scheduler) SetServedVersion(instance, model string, number uint64, loading bool, now time.Duration) {
	replica := s.replicas[instance]
	if replica == nil || number == 0 {
		return
	}
	if known := replica.versions[model]; number > known.number {
		s.noteVersion(replica, model, number, now)
	}
	known := replica.versions[model]
	known.reported, known.loading = max(now, 1), loading
	s.setVersion(replica, model, known)
}

// ConfirmServedVersions records that all versions that were set and not forgotten since are still reported.
func (s *Scheduler) ConfirmServedVersions(now time.Duration) { s.confirmedAt = now }

// ForgetServedVersion records that a replica's version of a model is no longer reported.
func (s *Scheduler) ForgetServedVersion(instance, model string) {
	if replica := s.replicas[instance]; replica != nil {
		s.forgetReport(replica, model)
	}
}

// ForgetServedVersions records that no version of any replica is reported any more.
func (s *Scheduler) ForgetServedVersions() {
	for _, replica := range s.replicas {
		for model := range replica.versions {
			s.forgetReport(replica, model)
		}
	}
}

// forgetReport forgets that the replica's version of a model was reported, but not the version.
func (s *Scheduler) forgetReport(replica *replica, model string) {
	if known, listed := replica.versions[model]; listed {
		known.reported, known.loading = 0, false
		s.setVersion(replica, model, known)
	}
}

// isFresh reports whether the last report of a version still counts.
func (s *Scheduler) isFresh(known version, now time.Duration) bool {
	return known.reported > 0 && now < max(known.reported, s.confirmedAt)+reportTTL
}

// noteVersion records the weight version under which a replica answered; 0 is ignored.
func (s *Scheduler) noteVersion(replica *replica, model string, number uint64, now time.Duration) {
	if number == 0 {
		return
	}
	if replica.versions[model].number == number {
		known := replica.versions[model]
		known.heardAt = max(known.heardAt, now)
		s.setVersion(replica, model, known)
		return
	}
	before := replica.versions[model]
	s.setVersion(replica, model, version{number: number, heardAt: now, reported: before.reported, loading: before.loading})
	pool := s.poolNamed(replica.Pool)
	pool.newestVersion[model] = max(pool.newestVersion[model], number)
}

// isTooOldFor reports whether the replica's weights were too old for a job when their version was last heard.
func (r *replica) isTooOldFor(job *job) bool {
	known := r.versions[job.Model]
	return known.number > 0 && known.number < job.MinVersion
}

// setVersion sets the last known state of a model's weights on a replica.
func (s *Scheduler) setVersion(replica *replica, model string, known version) {
	replica.versions[model] = known
	if !replica.draining {
		s.poolNamed(replica.Pool).reported.update(replica, model)
	}
}

// versionIndex finds the replicas of a pool by the weight versions that they are reported to serve: by model, then by
// version. It has the replicas of pool.replicas.
type versionIndex map[string]map[uint64]map[*replica]struct{}

// update brings the index up to date with the version of a model on a replica.
func (v versionIndex) update(member *replica, model string) {
	known := member.versions[model]
	number := known.number
	if known.reported == 0 {
		number = 0
	}
	if before := member.indexedVersion[model]; before != number {
		v.drop(member, model, before)
		v.add(member, model, number)
	}
}

// insert adds a replica with all its reported versions.
func (v versionIndex) insert(member *replica) {
	for model := range member.versions {
		v.update(member, model)
	}
}

// remove removes a replica.
func (v versionIndex) remove(member *replica) {
	for model, number := range member.indexedVersion {
		v.drop(member, model, number)
	}
	clear(member.indexedVersion)
}

func (v versionIndex) add(member *replica, model string, number uint64) {
	if number == 0 {
		delete(member.indexedVersion, model)
		return
	}
	if v[model] == nil {
		v[model] = map[uint64]map[*replica]struct{}{}
	}
	if v[model][number] == nil {
		v[model][number] = map[*replica]struct{}{}
	}
	v[model][number][member] = struct{}{}
	member.indexedVersion[model] = number
}

func (v versionIndex) drop(member *replica, model string, number uint64) {
	delete(v[model][number], member)
	if len(v[model][number]) == 0 {
		delete(v[model], number)
	}
}

// atLeast returns the replicas that are reported to serve a model in a version from minimum on, in no particular order,
// and the number of replicas whose version of the model is reported.
func (v versionIndex) atLeast(model string, minimum uint64) (found []*replica, reported int) {
	for number, members := range v[model] {
		reported += len(members)
		if number < minimum {
			continue
		}
		for member := range members {
			found = append(found, member)
		}
	}
	return found, reported
}

// mayStart returns the replicas of a pool that may be able to start an item, in no particular order. While the reports of
// all replicas count, those with too old weights are left out, which in a large fleet are nearly all.
func (s *Scheduler) mayStart(entry *item, pool *pool, now time.Duration) []*replica {
	if now >= s.confirmedAt+reportTTL || s.confirmedAt == 0 {
		return pool.replicas
	}
	current, reported := pool.reported.atLeast(entry.job.Model, entry.job.MinVersion)
	if reported < len(pool.replicas) {
		return pool.replicas
	}
	return current
}
