package batch

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Limits, in bytes unless stated otherwise.
const (
	MaximumIDBytes     = 256
	MaximumDigestBytes = 32
	MaximumItems       = 20_000       // items per job
	MaximumJobBytes    = 2<<20 - 4096 // limit of a command in the replicated log
	// MaximumHeldBytes limits the size of all jobs together if a submit names no other limit. A job that would exceed
	// it is rejected as FULL.
	MaximumHeldBytes = 48 << 20
	// MaximumResultBytes limits the text of one result. A longer one is rejected as malformed.
	MaximumResultBytes = 1 << 20
	// MaximumReplyBytes limits the results of one reply, unless a single one is longer.
	MaximumReplyBytes = 1 << 20
)

// Unsafe disables safety steps. Only tests set it, to show that their checks detect each fault.
type Unsafe struct {
	TakeTwice    bool // store a job again when it is submitted again
	ForgetDigest bool // accept different content under the id of a stored job
	ListTwice    bool // list all results of an item instead of the first
	ListAfterEnd bool // accept results of jobs that have ended
	JoinRuns     bool // let a text continue the partial text of another run
	ListUnscored bool // accept a completed result without the score that its item needs
	ReplaceText  bool // let the text of another run replace one that waits for its score
	ExpireOpen   bool // expire jobs that have not ended
	AnyTenant    bool // let a tenant read and end the jobs of other tenants
	CountEarly   bool // count time that passed before a job was stored towards its retention
}

// Store holds the batch jobs of one ledger group.
type Store struct {
	unsafe    Unsafe
	jobs      map[string]*job
	order     []*job // in the order in which they were stored
	revision  uint64 // increases with every job that is stored
	clock     uint64 // time counted by leaders so far, in milliseconds
	heldBytes int    // size of all jobs in bytes
	// nextExpiryMillis is the time, as of the last Expire, until the next ended job is removed. 0: there is no ended
	// job, or no Expire since the store was created or restored. It is not part of the replicated state.
	nextExpiryMillis uint64
}

// job is one batch job. Its messages are shared with snapshots and views and never modified.
type job struct {
	submit   *wire.JobSubmit
	revision uint64
	ended    bool
	// countedFrom is the clock of the store at the first Expire after the job was stored, and the start of its
	// retention. The time counted by that Expire is not included, because it began before the job was stored.
	// 0: there was no Expire yet.
	countedFrom uint64
	results     []*wire.JobResult           // in the order of their positions
	listed      map[string]bool             // ids of the items with a result
	partials    map[string]*wire.JobPartial // committed parts of the texts of unfinished items, by item id
	unscored    map[string]*wire.JobResult  // whole texts that wait for their score, by item id
	items       map[string]*wire.JobItem    // by id
	bytes       int                         // encoded size of submit, results and texts
	// sealed, if not nil, replaces the messages above. submit then contains only the id, the digest and the tenant.
	sealed *sealedJob
}

// New returns an empty Store.
func New() *Store { return NewUnsafe(Unsafe{}) }

// NewUnsafe returns an empty Store with safety steps disabled.
func NewUnsafe(unsafe Unsafe) *Store { return &Store{unsafe: unsafe, jobs: map[string]*job{}} }

// Len returns the number of stored jobs.
func (s *Store) Len() int { return len(s.order) }

// HeldBytes returns the size of all stored jobs in bytes.
func (s *Store) HeldBytes() int { return s.heldBytes }

// Revision returns a number that increases with every job that is stored.
func (s *Store) Revision() uint64 { return s.revision }

// jobOfTenant returns a job of a tenant, or nil if there is none. The job of another tenant is treated as unknown, so
// that nobody learns of it even with its id.
func (s *Store) jobOfTenant(id, tenant string) *job {
	held := s.jobs[id]
	if held == nil || held.submit.GetTenant() != tenant && !s.unsafe.AnyTenant {
		return nil
	}
	return held
}

// addJob adds a job without results.
func (s *Store) addJob(submit *wire.JobSubmit, revision uint64) *job {
	added := &job{submit: submit, revision: revision, bytes: proto.Size(submit), listed: map[string]bool{}, partials: map[string]*wire.JobPartial{},
		unscored: map[string]*wire.JobResult{},
		items:    make(map[string]*wire.JobItem, len(submit.GetItems()))}
	for _, item := range submit.GetItems() {
		added.items[item.GetId()] = item
	}
	s.jobs[submit.GetId()] = added
	s.order = append(s.order, added)
	s.heldBytes += added.bytes
	return added
}

// listResult appends a result and removes the texts that it replaces.
func (s *Store) listResult(j *job, result *wire.JobResult) {
	j.results = append(j.results, result)
	j.listed[result.GetItem()] = true
	s.dropPartial(j, result.GetItem())
	s.dropUnscored(j, result.GetItem())
	s.addBytes(j, proto.Size(result))
}

// dropContent removes the content of an ended job's items and its unfinished texts, which can't be read any more.
func (s *Store) dropContent(j *job) {
	stripped := &wire.JobSubmit{
		Id: j.submit.GetId(), Digest: j.submit.GetDigest(), Route: j.submit.GetRoute(), Pools: j.submit.GetPools(),
		Model: j.submit.GetModel(), Step: j.submit.GetStep(), MinVersion: j.submit.GetMinVersion(),
		Desired: j.submit.GetDesired(), DeadlineMillis: j.submit.GetDeadlineMillis(),
		QueueTtlMillis: j.submit.GetQueueTtlMillis(), MaxAttempts: j.submit.GetMaxAttempts(),
		SingleVersion: j.submit.GetSingleVersion(), SentUnixMillis: j.submit.GetSentUnixMillis(),
		TableVersion: j.submit.GetTableVersion(), Tenant: j.submit.GetTenant(),
		Items: make([]*wire.JobItem, 0, len(j.submit.GetItems())),
	}
	for _, item := range j.submit.GetItems() {
		kept := &wire.JobItem{Id: item.GetId(), Group: item.GetGroup(), Tokens: item.GetTokens()}
		stripped.Items = append(stripped.Items, kept)
		j.items[item.GetId()] = kept
	}
	s.addBytes(j, proto.Size(stripped)-proto.Size(j.submit))
	j.submit = stripped
	for item := range j.partials {
		s.dropPartial(j, item)
	}
	for item := range j.unscored {
		s.dropUnscored(j, item)
	}
}
