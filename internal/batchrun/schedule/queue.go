package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarindring/tamarindring/internal/fairqueue"
)

// Scheduler holds the open jobs and the known replicas, and decides where and when items run.
type Scheduler struct {
	settings     Settings
	jobs         map[string]*job
	replicas     map[string]*replica // by instance
	draining     map[string]*replica // those of replicas that accept no new work, by instance
	pools        map[string]*pool
	endedGroups  map[string]bool         // groups of jobs that have ended
	suspended    []Suspension            // not yet returned by Suspended
	usage        *fairqueue.Usage        // events of ended runs, by owner
	turns        Turns                   // basis of the present order
	waitingOrder []*item                 // waiting items in order of work; nil: has to be sorted again
	lengthLimits map[string]*lengthLimit // by model
	confirmedAt  time.Duration           // when the reported versions of replicas were last confirmed
	revision     uint64                  // increases with the progress of runs and with every end of a run
}

// job is an open job.
type job struct {
	Job
	items  map[string]*item
	groups []*group // in the order of the job's items
	// earliestEnd is the earliest time at which the job can complete, as computed at earliestEndAt; see
	// Scheduler.earliestEndOf.
	earliestEnd, earliestEndAt time.Duration
}

// group is a group of a job's items.
type group struct {
	id           string
	position     int // among the job's groups
	items        []*item
	carried      bool   // an earlier job that has ended contained the group
	rank         int    // position in the order of work of its job's groups
	lastInstance string // replica on which one of its items started last
}

// state is the state of an item.
type state uint8

const (
	waiting state = iota
	running
	scoring // the text is complete and its score is pending
	finished
	terminated
)

// item is an item of an open job.
type item struct {
	Item
	job             *job
	group           *group
	state           state
	pools           []Share       // empty: the item can't run now
	failures        int           // runs that ended as Failed
	notBefore       time.Duration // earliest time of the next run
	holdReason      HoldReason    // why notBefore was set
	lastAtReplica   time.Duration // end of the last run at a replica; before the first one, when the job was opened
	avoidInstance   string        // replica of the last run that ended badly or was moved
	moving          bool          // the run is being stopped to continue on a faster replica
	suspected       bool          // replicas crashed while running it
	condemned       bool          // considered the cause of crashes and held for a long time
	eventlessRuns   int           // consecutive runs that were rejected or broke off without an event
	oversized       bool          // rejected by a replica that it is larger than
	run             run           // the present run
	reservedReplica *replica      // replica with a slot reserved for the item to continue on; nil: none
	urgency         int
	earlierEvents   int // events of ended runs
	// critical reports that, as far as the item's length is known, its current or next run decides when its job
	// completes.
	critical bool
	// latestStart is when the item must start to complete by its job's deadline, as far as its length is known.
	latestStart time.Duration
}

// run is the current run of an item.
type run struct {
	instance   string
	started    time.Duration
	lastEvent  time.Duration // time of the last event, or the start of the run before the first event
	events     int
	remote     bool          // another process drives the run
	heardUntil time.Duration // for a remote run: the time up to which its process has reported
	pace       runPace       // time between events
	// suspected is the item's suspected flag at the start of the run.
	suspected bool
}

// New returns a scheduler without jobs and replicas.
func New(settings Settings) *Scheduler {
	return &Scheduler{
		settings: settings.WithDefaults(), jobs: map[string]*job{}, replicas: map[string]*replica{}, draining: map[string]*replica{},
		pools: map[string]*pool{}, endedGroups: map[string]bool{},
		usage: fairqueue.NewUsage(usageHalfLife),
	}
}

// Open adds a job. The items in done have a result, and those in unscored have a complete text without a score. Open
// does nothing if the job is already open.
func (s *Scheduler) Open(opened Job, done, unscored []string) {
	if s.jobs[opened.ID] != nil {
		return
	}
	added := &job{Job: opened, items: make(map[string]*item, len(opened.Items))}
	groups := map[string]*group{}
	for _, described := range opened.Items {
		name := described.Group
		if name == "" {
			name = "\x00" + described.ID
		}
		member := groups[name]
		if member == nil {
			member = &group{id: name, position: len(added.groups), carried: s.endedGroups[name]}
			groups[name] = member
			added.groups = append(added.groups, member)
		}
		entry := &item{Item: described, job: added, group: member, lastAtReplica: opened.OpenedAt}
		switch {
		case slices.Contains(done, described.ID):
			entry.state = finished
		case slices.Contains(unscored, described.ID):
			entry.state = scoring
		}
		added.items[described.ID] = entry
		member.items = append(member.items, entry)
	}
	s.jobs[opened.ID] = added
	s.waitingOrder = nil
}

// End removes a job and returns its running items. The caller must stop their runs and report them to Ended.
func (s *Scheduler) End(id string) []Key {
	ended := s.jobs[id]
	if ended == nil {
		return nil
	}
	var stop []Key
	if len(s.endedGroups) > maximumEndedGroups {
		clear(s.endedGroups)
	}
	for _, member := range ended.groups {
		for _, entry := range member.items {
			if entry.state == running {
				stop = append(stop, Key{Job: id, Item: entry.ID})
				s.endRun(entry)
			}
			s.releaseReservation(entry)
		}
		s.endedGroups[member.id] = true
	}
	delete(s.jobs, id)
	s.waitingOrder = nil
	return stop
}

// CarriedGroups returns the incomplete groups of a job that also belonged to an earlier job whose end the scheduler has
// seen. The owner did not receive them complete from that job, even if all their items finished, because it may not
// have read the last results. An item without a group is named by its own id.
func (s *Scheduler) CarriedGroups(id string) []string {
	job := s.jobs[id]
	if job == nil {
		return nil
	}
	var carried []string
	for _, member := range job.groups {
		complete := !slices.ContainsFunc(member.items, func(entry *item) bool { return entry.state < finished })
		if member.carried && !complete {
			carried = append(carried, cmp.Or(member.items[0].Group, member.items[0].ID))
		}
	}
	return carried
}

// maximumEndedGroups bounds how many groups of ended jobs are remembered.
const maximumEndedGroups = 100_000

// Jobs returns the ids of the open jobs, sorted.
func (s *Scheduler) Jobs() []string {
	ids := make([]string, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Route sets the pools that may run an item. Without pools the item waits.
func (s *Scheduler) Route(key Key, pools []Share) {
	if entry := s.find(key); entry != nil {
		entry.pools = pools
	}
}

// Terminate ends an item permanently for a reason of the caller's own. It reports whether the item was unfinished.
func (s *Scheduler) Terminate(key Key) bool {
	entry := s.find(key)
	if entry == nil || entry.state >= finished {
		return false
	}
	if entry.state == running {
		s.endRun(entry)
	}
	s.releaseReservation(entry)
	entry.state, s.waitingOrder = terminated, nil
	return true
}

// Suspect records that a replica crashed while running an item. The item's next runs are kept apart from those of other
// suspects, so that a further crash identifies its cause.
func (s *Scheduler) Suspect(key Key) {
	if entry := s.find(key); entry != nil {
		entry.suspected, s.waitingOrder = true, nil
	}
}

// Hold prevents an item from starting before a given time.
func (s *Scheduler) Hold(key Key, until time.Duration, reason HoldReason) {
	if entry := s.find(key); entry != nil {
		entry.hold(until, reason)
	}
}

// hold prevents the item from starting before a given time.
func (e *item) hold(until time.Duration, reason HoldReason) {
	e.notBefore, e.holdReason = until, reason
}

// Condemn records that an item, or the call for its score, is considered the cause of crashes and is held for a long
// time. Its group will not complete in time, so another group of the job is required in its place until the item runs
// again.
func (s *Scheduler) Condemn(key Key) {
	if entry := s.find(key); entry != nil && !entry.condemned {
		entry.condemned, s.waitingOrder = true, nil
	}
}

// Scored finishes an item whose text has received its score. It reports whether the item was waiting for one.
func (s *Scheduler) Scored(key Key) bool {
	entry := s.find(key)
	if entry == nil || entry.state != scoring {
		return false
	}
	entry.state = finished
	return true
}

// TerminateExpired terminates the items that wait for a replica or for a score although their job's GiveUp time has
// passed, and returns them.
func (s *Scheduler) TerminateExpired(now time.Duration) []Key {
	var expired []Key
	for _, id := range s.Jobs() {
		job := s.jobs[id]
		if job.GiveUp == 0 || now < job.GiveUp {
			continue
		}
		for _, member := range job.groups {
			for _, entry := range member.items {
				if entry.state == waiting || entry.state == scoring {
					s.releaseReservation(entry)
					entry.state, s.waitingOrder = terminated, nil
					expired = append(expired, Key{Job: id, Item: entry.ID})
				}
			}
		}
	}
	return expired
}

// find returns an item of an open job, or nil.
func (s *Scheduler) find(key Key) *item {
	if job := s.jobs[key.Job]; job != nil {
		return job.items[key.Item]
	}
	return nil
}

// poolOf chooses the pool of an item by the route's shares. An item keeps its pool as long as the shares stay the same.
func (e *item) poolOf() string {
	if len(e.pools) == 1 && e.pools[0].Weight > 0 {
		return e.pools[0].Pool
	}
	total := uint64(0)
	for _, share := range e.pools {
		total += uint64(share.Weight)
	}
	if total == 0 {
		return ""
	}
	point := xxhash.Sum64String(e.ID) % total
	for _, share := range e.pools {
		if point < uint64(share.Weight) {
			return share.Pool
		}
		point -= uint64(share.Weight)
	}
	return ""
}
