// Package batchclient is the gateways' client of the batch jobs in the ledger group. It adds the settings of the route
// to a job, makes resends of a job equal, and waits for results on behalf of a caller.
package batchclient

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
)

// Service stores batch jobs durably. Its errors carry a verdict: DidNotRun means that nothing was changed and nothing
// will be. trace.NotFound means that there is no such batch job or item. After any other error the effect is unknown.
type Service interface {
	// Submit stores a batch job, once however often it is submitted. On nil, all of it is stored durably. It returns
	// trace.BadParameter for an invalid job, or for other content than that stored under the same id, and an error that
	// wraps FullError if there is no space for the job.
	Submit(ctx context.Context, job *Job) error
	// Results returns results from a position on. If there is none yet, it waits for one for up to wait, and then
	// returns an empty list.
	Results(ctx context.Context, job Reference, from uint64, wait time.Duration) (*Results, error)
	// Item returns the request body of an item of an open batch job.
	Item(ctx context.Context, job Reference, item string) ([]byte, error)
	// End ends a batch job. Ending it again is not an error.
	End(ctx context.Context, job Reference) error
}

// Reference identifies a batch job as callers do. Only the tenant that submitted the job can access it.
type Reference struct {
	ID     string
	Tenant string // tenant of the key that the caller presented; empty: anonymous
}

// Job is a batch job as it was submitted.
type Job struct {
	ID         string
	Tenant     string // tenant that submits the job; empty: anonymous
	Host       string // host of the request
	Route      string // name of the table row of the matched route
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
	Reward *Reward // nil: the item needs no score
}

// Reward is the call whose answer is the score of an item's whole text: a POST that is routed by its host and path.
type Reward struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Results are consecutive results of a job.
type Results struct {
	Total   uint64 // number of items of the job
	Results []Result
}

// Result is the result of one item.
type Result struct {
	ID        string
	Completed bool // false: the item was terminated without a text
	Text      string
	Versions  []uint64
	Score     string // only of a completed item with a reward call
}
