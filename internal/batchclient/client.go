package batchclient

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/route"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// Group is the number of the ledger group that stores the batch jobs.
	Group uint32 = 1
	// callTimeout limits one command or query of a call.
	callTimeout = 1200 * time.Millisecond
	// resultsPollInterval is the pause between two queries for results that a caller waits for.
	resultsPollInterval = 50 * time.Millisecond
	// answerBytes limits the results of one answer before their encoding, which may make them longer: callers are
	// promised 1 MB at most. They are requested in pieces of about pieceBytes, because a control node retains a buffer
	// as large as the largest message for each gateway that it has answered.
	answerBytes = 400 << 10
	pieceBytes  = 48 << 10
)

// FullError rejects a batch job because the stored jobs leave no space for it.
type FullError struct {
	SpaceIn time.Duration // time until the next job is removed; 0: unknown
}

// Error implements error.
func (e *FullError) Error() string {
	return "the batch jobs that are kept leave no room; the next one is forgotten in " + e.SpaceIn.String()
}

// errUnexpectedView reports a control node that does not know the kind of query.
var errUnexpectedView = verdict.New(verdict.DidNotRun, "the control node answered the query with something else")

// Ledger executes commands and queries in ledger groups. It is implemented by *controlclient.Client.
type Ledger interface {
	Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error)
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
}

// Client implements Service on the ledger group of the batch jobs.
type Client struct {
	client Ledger
	view   func() *table.View // nil result: not known yet
	near   *Near              // nil: all results are read from the leader
}

// New returns a Client that takes the settings of routes from the table that view returns; nil while no table is known.
func New(client Ledger, view func() *table.View) *Client {
	return &Client{client: client, view: view}
}

// Submit implements Service.
func (b *Client) Submit(ctx context.Context, job *Job) error {
	view := b.view()
	if view == nil {
		return verdict.New(verdict.DidNotRun, "the table is not known yet")
	}
	row := view.Row(job.Route)
	if row == nil || row.Kind != table.Route {
		return verdict.New(verdict.DidNotRun, "the table has no route %q any more", job.Route)
	}
	if err := checkItems(job); err != nil {
		return err
	}
	if err := checkRewards(job, view); err != nil {
		return err
	}
	submit := submission(job, row)
	submit.TableVersion = view.Version()
	reply, err := b.execute(ctx, &wire.Command{RequestId: job.ID, Kind: &wire.Command_JobSubmit{JobSubmit: submit}})
	if err != nil {
		return err
	}
	switch reply.GetOutcome() {
	case wire.JobOutcome_JOB_OUTCOME_ACCEPTED:
		return nil
	case wire.JobOutcome_JOB_OUTCOME_OTHER_CONTENT:
		return trace.BadParameter("batch job %q has other content than before", job.ID)
	}
	if reply.GetOutcome() == wire.JobOutcome_JOB_OUTCOME_FULL && reply.GetUnproposed() {
		full := &FullError{SpaceIn: time.Duration(reply.GetRoomInMillis()) * time.Millisecond}
		return verdict.Wrap(verdict.DidNotRun, full, "batch job %q was not taken", job.ID)
	}
	// An earlier, delayed copy of the command may still be applied, so the job may yet run.
	return verdict.New(verdict.MayHaveRun, "batch job %q was not taken: %s", job.ID, reply.GetOutcome())
}

// checkItems checks that the texts of each item that go into the head of its request leave it one request.
func checkItems(job *Job) error {
	for position := range job.Items {
		item := &job.Items[position]
		if !answercheck.IsFieldValue(item.ID) {
			return trace.BadParameter("the id of item %q must have no control characters", item.ID)
		}
		if !answercheck.IsRequestTarget(item.Path) {
			return trace.BadParameter("the path of item %q must begin with a slash, and have neither blanks nor control characters", item.ID)
		}
		for _, field := range item.Header {
			if !answercheck.IsFieldName(field.Name) || !answercheck.IsFieldValue(field.Value) {
				return trace.BadParameter("item %q: %q is no header field", item.ID, field.Name+": "+field.Value)
			}
		}
	}
	return nil
}

// checkRewards rejects a job with an invalid reward call. If only the route of a call is missing, the error is
// DidNotRun, because the route may be added soon and the job can be submitted again.
func checkRewards(job *Job, view *table.View) error {
	var routes *route.Table
	for position := range job.Items {
		reward := job.Items[position].Reward
		if reward == nil {
			continue
		}
		if reward.ID == "" || reward.Host == "" || !answercheck.IsRequestTarget(reward.Path) ||
			!answercheck.IsFieldValue(reward.ID) || !answercheck.IsFieldValue(reward.Host) {
			return trace.BadParameter("item %q: the reward call needs an id, a host and a path that begins with a slash, without line breaks and without blanks in the path", job.Items[position].ID)
		}
		if routes == nil {
			routes = route.NewTable(view)
		}
		if routes.Match(reward.Host, reward.Path) == nil {
			return verdict.New(verdict.DidNotRun, "item %q: the table has no route for its reward call to %s%s", job.Items[position].ID, reward.Host, reward.Path)
		}
	}
	return nil
}

// submission returns the command that stores a job with the settings of its route.
func submission(job *Job, row *table.Row) *wire.JobSubmit {
	submit := &wire.JobSubmit{
		Id: job.ID, Route: row.Name, Model: job.Model, Step: job.Step, MinVersion: job.MinVersion,
		Desired: uint32(min(job.Desired, batch.MaximumItems)), DeadlineMillis: uint32(row.Deadline.Milliseconds()),
		QueueTtlMillis: uint32(row.QueueTTL.Milliseconds()), MaxAttempts: row.MaxAttempts,
		SingleVersion: row.SingleVersion, SentUnixMillis: job.Received.UnixMilli(), Tenant: job.Tenant,
	}
	for _, share := range row.Pools {
		submit.Pools = append(submit.Pools, share.Name)
	}
	for _, item := range job.Items {
		added := &wire.JobItem{
			Id: item.ID, Method: "POST", Path: item.Path, Host: job.Host, Body: item.Body, Tokens: item.Tokens, Group: item.Group,
		}
		if reward := item.Reward; reward != nil {
			added.Reward = &wire.JobReward{Id: reward.ID, Host: reward.Host, Path: reward.Path, Body: reward.Body}
		}
		for _, header := range item.Header {
			added.Headers = append(added.Headers, &wire.JobHeader{Name: header.Name, Value: header.Value})
		}
		// The headers arrive in arbitrary order, and the digest of a resend must be equal.
		slices.SortFunc(added.Headers, func(a, b *wire.JobHeader) int {
			return cmp.Or(strings.Compare(a.GetName(), b.GetName()), strings.Compare(a.GetValue(), b.GetValue()))
		})
		submit.Items = append(submit.Items, added)
	}
	submit.Digest = batch.Digest(submit)
	return submit
}

// execute executes a command within callTimeout.
func (b *Client) execute(ctx context.Context, command *wire.Command) (*wire.JobReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := b.client.Execute(ctx, Group, command)
	if err != nil {
		return nil, err
	}
	return result.GetJob(), nil
}

// Results implements Service.
func (b *Client) Results(ctx context.Context, job Reference, from uint64, wait time.Duration) (*Results, error) {
	for until := time.Now().Add(wait); ; {
		near := b.near.chooseNode()
		found, err := b.queryResults(ctx, job, from, near != "")
		if err != nil {
			return nil, err
		}
		done := from >= found.GetTotal() || found.GetEnded()
		if listedCount(found) > from || done || time.Now().Add(resultsPollInterval).After(until) {
			return b.collectResults(ctx, job, from, near, found)
		}
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		case <-time.After(resultsPollInterval):
		}
	}
}

// pieceQuery returns the query for a piece of the results from a position on.
func pieceQuery(job Reference, from uint64) *wire.Query {
	return &wire.Query{Kind: &wire.Query_JobResults{JobResults: &wire.JobResultsQuery{Job: job.ID, Tenant: job.Tenant, Since: from, MaxBytes: pieceBytes}}}
}

// queryResults queries the leader for the results of a job from a position on, or only for their number.
func (b *Client) queryResults(ctx context.Context, job Reference, from uint64, countOnly bool) (*wire.JobResultsView, error) {
	query := pieceQuery(job, from)
	query.GetJobResults().CountOnly = countOnly
	view, err := b.query(ctx, query)
	if err != nil {
		return nil, err
	}
	found := view.GetJobResults()
	if found == nil {
		return nil, errUnexpectedView
	}
	if !found.GetKnown() {
		return nil, trace.NotFound("no batch job %q", job.ID)
	}
	return found, nil
}

// listedCount returns the number of results that a job has. A control node of an older version reports only the results
// that it returns.
func listedCount(found *wire.JobResultsView) uint64 { return max(found.GetListed(), found.GetNext()) }

// collectResults appends further pieces to the first answer of the leader, up to answerBytes. It reads them from the
// near node, and from the leader once that node does not have them. If a piece can't be read, it returns the results
// before it.
func (b *Client) collectResults(ctx context.Context, job Reference, from uint64, near string, first *wire.JobResultsView) (*Results, error) {
	results, err := resultsOf(first)
	if err != nil {
		return nil, err
	}
	for results.Bytes() < answerBytes-pieceBytes {
		next := from + uint64(len(results.Results))
		if next >= listedCount(first) {
			break
		}
		var piece *wire.JobResultsView
		if near != "" {
			piece = b.near.results(ctx, near, job, next)
		}
		if piece == nil {
			near = ""
			if piece, err = b.queryResults(ctx, job, next, false); err != nil {
				break
			}
		}
		more, err := resultsOf(piece)
		if err != nil {
			return nil, err
		}
		if len(more.Results) == 0 {
			break
		}
		results.Results = append(results.Results, more.Results...)
	}
	if err != nil && len(results.Results) == 0 {
		return nil, err
	}
	return results, nil // a part of the results is a valid answer
}

// Bytes returns the total length of the texts in bytes.
func (r *Results) Bytes() int {
	size := 0
	for i := range r.Results {
		size += len(r.Results[i].Text)
	}
	return size
}

// resultsOf decodes a view and decompresses its texts.
func resultsOf(found *wire.JobResultsView) (*Results, error) {
	results := &Results{Total: found.GetTotal(), Results: make([]Result, 0, len(found.GetResults()))}
	for _, result := range found.GetResults() {
		text, err := batch.Text(result)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		results.Results = append(results.Results, Result{
			ID: result.GetItem(), Completed: result.GetState() == wire.JobItemState_JOB_ITEM_STATE_COMPLETED,
			Text: string(text), Versions: result.GetVersions(), Score: result.GetScore(),
		})
	}
	return results, nil
}

// query executes a query within callTimeout.
func (b *Client) query(ctx context.Context, query *wire.Query) (*wire.View, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.client.Query(ctx, Group, query)
}

// Item implements Service.
func (b *Client) Item(ctx context.Context, job Reference, item string) ([]byte, error) {
	view, err := b.query(ctx, &wire.Query{Kind: &wire.Query_JobItem{JobItem: &wire.JobItemQuery{Job: job.ID, Tenant: job.Tenant, Item: item}}})
	if err != nil {
		return nil, err
	}
	found := view.GetJobItem()
	if found == nil {
		return nil, errUnexpectedView
	}
	if !found.GetKnown() || !found.GetHeld() {
		return nil, trace.NotFound("no item %q of an open batch job %q", item, job.ID)
	}
	return found.GetBody(), nil
}

// End implements Service.
func (b *Client) End(ctx context.Context, job Reference) error {
	command := &wire.JobEnd{Job: job.ID, Tenant: job.Tenant}
	reply, err := b.execute(ctx, &wire.Command{Kind: &wire.Command_JobEnd{JobEnd: command}})
	if err != nil {
		return err
	}
	if reply.GetOutcome() == wire.JobOutcome_JOB_OUTCOME_UNKNOWN_JOB {
		return trace.NotFound("no batch job %q", job.ID)
	}
	return nil
}
