package batchrun

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/batchrun/reward"
	"github.com/tamarindring/tamarindring/internal/forward"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// rewardSlotShare is the fraction of a pool's slots that reward calls may use. The pool also serves live requests, and
// the gateways that send them don't see the slots that reward calls take.
const rewardSlotShare = 0.5

var (
	errOldTable = errors.New("batchrun: this node's table is older than the one that the job was submitted under")
	errNoScore  = errors.New("batchrun: the answer to the reward call has no score")
)

// rewardCaller makes the reward calls of a runner. They are routed by the table and sent by a forwarder, like the
// requests of live clients.
type rewardCaller struct {
	config    *Config
	forwarder *forward.Forwarder
}

func newRewardCaller(config *Config) (*rewardCaller, error) {
	caller := &rewardCaller{config: config}
	forwarder, err := forward.New(forward.Config{
		Control: caller, Caller: config.Caller, Zone: config.Zone, SlotShare: rewardSlotShare, Guard: config.Guard, Log: config.Log,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	caller.forwarder = forwarder
	return caller, nil
}

// Admit implements forward.Control. It passes a new table to the forwarder before the forwarder acts on it.
func (r *rewardCaller) Admit() (version uint64, ok bool) {
	view, ok := r.config.Session.AdmitView()
	if !ok {
		return 0, false
	}
	if view.Version() != r.forwarder.TableVersion() {
		r.forwarder.Update(view)
	}
	return view.Version(), true
}

// rewardTry is the result of one attempt to get a score.
type rewardTry struct {
	ending          reward.Ending
	score           string        // set if ending is reward.Scored
	failures        int           // back ends that answered that the call failed
	maximumFailures int           // total failures after which the item is given up; 0: never
	retryAfter      time.Duration // delay that a rejection asked for; 0: none
	// condemned is set if ending is reward.Held and the call is condemned as the cause of crashes.
	condemned bool
	cause     error // why there is no score
}

// try makes one attempt to get a score, at as many back ends as the route allows.
func (r *rewardCaller) try(ctx context.Context, call *rewardCall) rewardTry {
	version, admitted := r.Admit()
	if admitted && version < call.job.GetTableVersion() {
		return rewardTry{ending: reward.Refused, cause: errOldTable}
	}
	tried := rewardTry{maximumFailures: int(call.job.GetMaxAttempts())}
	matched, known := r.forwarder.Match(call.request.GetHost(), call.request.GetPath())
	if known && matched != nil && tried.maximumFailures > 0 {
		tried.maximumFailures = max(tried.maximumFailures, int(matched.MaxAttempts))
	}
	answer := &rewardAnswer{scoreHeader: r.config.ScoreHeader}
	failure := r.forwarder.Serve(ctx, &forward.Request{
		AttemptID: call.request.GetId(), Method: http.MethodPost, Host: call.request.GetHost(), Path: call.request.GetPath(),
		Body: call.request.GetBody(), Tenant: call.job.GetTenant(), Owed: true, Received: time.Now(), Deadline: r.config.Reward.Deadline,
		OnServerError: func(string) { tried.failures++ },
	}, answer)
	switch {
	case failure == nil && answer.status/100 == 2 && answer.score != "":
		tried.ending, tried.score = reward.Scored, answer.score
	case tried.failures > 0:
		tried.ending = reward.Failed
	case failure != nil && failure.Reason == forward.Suspected:
		tried.ending, tried.retryAfter, tried.condemned = reward.Held, failure.RetryAfter, failure.Condemned
	case failure != nil && failure.Verdict == verdict.DidNotRun:
		tried.ending, tried.retryAfter = reward.Refused, failure.RetryAfter
	default:
		tried.ending = reward.Lost
	}
	switch {
	case failure != nil:
		tried.cause = failure
	case tried.ending != reward.Scored:
		tried.cause = errNoScore
	}
	return tried
}

// rewardAnswer receives the answer to a reward call and implements forward.Reply. The score is in a header, so the body
// is ignored.
type rewardAnswer struct {
	scoreHeader string
	status      int
	score       string
}

// Head implements forward.Reply.
func (a *rewardAnswer) Head(head replica.Head) error {
	a.status = head.Status
	for _, field := range head.Header {
		if strings.EqualFold(field.Name, a.scoreHeader) {
			a.score = field.Value
		}
	}
	return nil
}

// Body implements forward.Reply.
func (a *rewardAnswer) Body([]byte) error { return nil }

// requestScore retries a reward call until it gets a score, the call is given up, or ctx ends. It calls condemned after
// each attempt that was rejected because the call is a condemned request.
func (r *rewardCaller) requestScore(ctx context.Context, call *rewardCall, condemned func()) {
	for ctx.Err() == nil {
		tried := r.try(ctx, call)
		if tried.ending == reward.Scored {
			call.score = tried.score
			return
		}
		if ctx.Err() != nil {
			return
		}
		var next reward.Next
		if tried.condemned {
			condemned()
		}
		if tried.ending == reward.Held {
			next = call.attempts.RecordNotPermitted(tried.retryAfter)
		} else {
			next = call.attempts.Ended(r.config.Reward, tried.failures, tried.maximumFailures, tried.retryAfter, rand.Float64())
		}
		call.logTry(r.config.Log, &tried, next)
		if next.GiveUp {
			call.givenUp = true
			return
		}
		sleep(ctx, next.Pause)
	}
}

// needsScore reports whether an item's result needs a score.
func needsScore(entry *wire.JobItem) bool { return entry.GetReward() != nil }
