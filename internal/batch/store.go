package batch

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of the jobs, in bytes unless said otherwise.
const (
	MaximumIDBytes     = 256
	MaximumDigestBytes = 32
	MaximumItems       = 20_000       // of one job (a count)
	MaximumJobBytes    = 2<<20 - 4096 // a command of the log holds no more
	// MaximumHeldBytes bounds all jobs together where a submit names no other bound: above it another job is refused as FULL.
	MaximumHeldBytes = 48 << 20
	// MaximumResultBytes bounds one result's text. A longer one is refused as malformed.
	MaximumResultBytes = 1 << 20
	// MaximumReplyBytes bounds the results of one answer unless a single one is longer.
	MaximumReplyBytes = 1 << 20
)

// Unsafe switches safety steps off. Only tests set it, to show that the checks find the fault.
type Unsafe struct {
	TakeTwice    bool // take a job anew that is submitted again
	ForgetDigest bool // accept other content under the id of a job
	ListTwice    bool // list every result of an item
	ListAfterEnd bool // list results of jobs that have ended
	JoinRuns     bool // let a partial text follow the text of another run
	ListUnscored bool // list a text as completed without the score that its item needs
	ReplaceText  bool // let another run's text take the place of one that waits for its score
	ExpireOpen   bool // forget jobs that have not ended
	AnyTenant    bool // show and end the jobs of other tenants
	CountEarly   bool // count time for a job that had passed before it was taken
}

// Store holds the batch jobs of one ledger group.
type Store struct {
	unsafe   Unsafe
	jobs     map[string]*job
	order    []*job // in the order in which they were taken
	revision uint64 // rises with every job that is taken
	clock    uint64 // time that leaders have counted, milliseconds
	held     int    // bytes of all jobs
	// roomIn is the time, in milliseconds, until the next ended job is forgotten, as of the last count. It is no part of the state:
	// 0 until time is counted here.
	roomIn uint64
}

// job is one batch job. Messages are shared with snapshots and views and never modified.
type job struct {
	submit   *wire.JobSubmit
	revision uint64
	ended    bool
	// countedFrom is the store's clock at the first count after the job was taken, from which its retention is
	// counted: the time of that count began before it. 0: there was none yet.
	countedFrom uint64
	results     []*wire.JobResult           // by position
	listed      map[string]bool             // items with a result
	partials    map[string]*wire.JobPartial // texts of items that run, as far as they are committed
	unscored    map[string]*wire.JobResult  // whole texts whose score is still out
	items       map[string]*wire.JobItem
	bytes       int
	sealed      *sealedJob // once it changes no more: in place of the messages above, of which submit keeps what names the job
}

// New returns an empty Store.
func New() *Store { return NewUnsafe(Unsafe{}) }

// NewUnsafe returns an empty Store with safety steps switched off.
func NewUnsafe(unsafe Unsafe) *Store { return &Store{unsafe: unsafe, jobs: map[string]*job{}} }

// Len returns the number of jobs that are kept.
func (s *Store) Len() int { return len(s.order) }

// HeldBytes is the size of all jobs that are kept.
func (s *Store) HeldBytes() int { return s.held }

// Revision rises with every job that is taken.
func (s *Store) Revision() uint64 { return s.revision }

// ofTenant returns a job of a tenant; nil if there is none. Another tenant's job is as good as none, so that nobody learns of
// it, however its id came to be known.
func (s *Store) ofTenant(id, tenant string) *job {
	held := s.jobs[id]
	if held == nil || held.submit.GetTenant() != tenant && !s.unsafe.AnyTenant {
		return nil
	}
	return held
}

func (s *Store) add(submit *wire.JobSubmit, revision uint64) *job {
	added := &job{submit: submit, revision: revision, bytes: proto.Size(submit), listed: map[string]bool{}, partials: map[string]*wire.JobPartial{},
		unscored: map[string]*wire.JobResult{},
		items:    make(map[string]*wire.JobItem, len(submit.GetItems()))}
	for _, item := range submit.GetItems() {
		added.items[item.GetId()] = item
	}
	s.jobs[submit.GetId()] = added
	s.order = append(s.order, added)
	s.held += added.bytes
	return added
}

// list appends a result.
func (s *Store) list(j *job, result *wire.JobResult) {
	j.results = append(j.results, result)
	j.listed[result.GetItem()] = true
	s.drop(j, result.GetItem())
	s.dropUnscored(j, result.GetItem())
	s.count(j, proto.Size(result))
}

// strip drops the content of an ended job's items, which nobody may ask for any more.
func (s *Store) strip(j *job) {
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
	s.count(j, proto.Size(stripped)-proto.Size(j.submit))
	j.submit = stripped
	for item := range j.partials {
		s.drop(j, item)
	}
	for item := range j.unscored {
		s.dropUnscored(j, item)
	}
}
