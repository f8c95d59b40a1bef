// Package batchclient is how gateways reach the batch jobs of the ledger group: it gives a job the settings of
// its route, makes resends alike, and waits for results on behalf of a caller.
package batchclient

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
)

// Service keeps batch jobs. Its errors carry a verdict: DidNotRun says that nothing was changed and
// nothing will be; trace.NotFound says that there is no such batch job or item; anything else is not known.
type Service interface {
	// Submit keeps a batch job, once however often it comes. nil: all of it is kept.
	Submit(ctx context.Context, job *Job) error
	// Results returns the results from a position on. When there is none it waits up to wait for one, and
	// then returns none.
	Results(ctx context.Context, job Reference, from uint64, wait time.Duration) (*Results, error)
	// Item returns the body of an item.
	Item(ctx context.Context, job Reference, item string) ([]byte, error)
	// End ends a batch job; one that was ended already is no error.
	End(ctx context.Context, job Reference) error
}

// Reference names a batch job as a caller does. Only the tenant that submitted a job finds it.
type Reference struct {
	ID     string
	Tenant string // whose key the caller showed; empty: the caller is anonymous
}

// Job is a batch job as it was submitted.
type Job struct {
	ID         string
	Tenant     string // that submits it; empty: the caller is anonymous
	Host       string // as the caller named it
	Route      string // row name of the route that the job was matched to
	Path       string
	Received   time.Time
	Step       uint64
	Model      string
	MinVersion uint64
	Desired    uint64
	Items      []Item
}

// Item is one request of a batch job.
type Item struct {
	ID     string
	Path   string
	Header []replica.Header
	Body   []byte
	Tokens uint64
	Group  string
	Reward *Reward // nil: the text alone is the result
}

// Reward is the call whose answer scores an item's whole text: a POST by the route of its host and path.
type Reward struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Results are results from a position on.
type Results struct {
	Total   uint64 // items of the job
	Results []Result
}

// Result is the end of one item.
type Result struct {
	ID        string
	Completed bool // false: terminated
	Text      string
	Versions  []uint64
	Score     string // of a completed item with a reward call
}
