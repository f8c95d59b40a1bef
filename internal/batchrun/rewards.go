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

// rewardSlotShare is the part of a pool's slots that reward calls may fill: the same pool answers live requests, which
// gateways send without knowing of these calls.
const rewardSlotShare = 0.5

var (
	errOldTable = errors.New("batchrun: the table is older than the one that the job was taken under")
	errNoScore  = errors.New("batchrun: the answer to the reward call has no score")
)

// rewards makes the reward calls of a runner: requests by the route that the table has for them, which the forwarder
// sends as it sends callers' requests.
type rewards struct {
	config    *Config
	forwarder *forward.Forwarder
}

func newRewards(config *Config) (*rewards, error) {
	made := &rewards{config: config}
	forwarder, err := forward.New(forward.Config{
		Control: made, Caller: config.Caller, Zone: config.Zone, SlotShare: rewardSlotShare, Guard: config.Guard, Log: config.Log,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	made.forwarder = forwarder
	return made, nil
}

// Admit implements forward.Control. The forwarder gets a new table before it is asked to act on it.
func (r *rewards) Admit() (version uint64, ok bool) {
	view, ok := r.config.Session.AdmitView()
	if !ok {
		return 0, false
	}
	if view.Version() != r.forwarder.TableVersion() {
		r.forwarder.Update(view)
	}
	return view.Version(), true
}

// rewardTry is one request for a score, as it ended.
type rewardTry struct {
	ending   reward.Ending
	score    string        // of one that is scored
	failures int           // back ends that answered that it failed
	most     int           // failures after which its item is given up; 0: never
	after    time.Duration // when a refusal advised to come back; 0: it did not
	// condemned says of one that is held that it counts as the cause of crashes.
	condemned bool
	cause     error
}

// try asks for a score once, of as many back ends as the route allows.
func (r *rewards) try(ctx context.Context, call *rewardCall) rewardTry {
	version, held := r.Admit()
	if held && version < call.job.GetTableVersion() {
		return rewardTry{ending: reward.Refused, cause: errOldTable}
	}
	tried := rewardTry{most: int(call.job.GetMaxAttempts())}
	matched, known := r.forwarder.Match(call.request.GetHost(), call.request.GetPath())
	if known && matched != nil && tried.most > 0 {
		tried.most = max(tried.most, int(matched.MaxAttempts))
	}
	answer := &rewardAnswer{scoreHeader: r.config.ScoreHeader}
	failure := r.forwarder.Serve(ctx, &forward.Request{
		AttemptID: call.request.GetId(), Method: http.MethodPost, Host: call.request.GetHost(), Path: call.request.GetPath(),
		Body: call.request.GetBody(), Tenant: call.job.GetTenant(), Received: time.Now(), Deadline: r.config.Reward.Deadline,
		Failed: func(string) { tried.failures++ },
	}, answer)
	switch {
	case failure == nil && answer.status/100 == 2 && answer.score != "":
		tried.ending, tried.score = reward.Scored, answer.score
	case tried.failures > 0:
		tried.ending = reward.Failed
	case failure != nil && failure.Reason == forward.Suspected:
		tried.ending, tried.after, tried.condemned = reward.Held, failure.RetryAfter, failure.Condemned
	case failure != nil && failure.Verdict == verdict.DidNotRun:
		tried.ending, tried.after = reward.Refused, failure.RetryAfter
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

// rewardAnswer takes the answer to a reward call. It implements forward.Reply; the body rates nothing.
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

// rate asks for a text's score until there is one, the call fails for good, or ctx ends. condemned is called when the call counts as the
// cause of crashes.
func (r *rewards) rate(ctx context.Context, call *rewardCall, condemned func()) {
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
			next = call.course.Rested(tried.after)
		} else {
			next = call.course.Ended(r.config.Reward, tried.failures, tried.most, tried.after, rand.Float64())
		}
		call.logTry(r.config.Log, &tried, next)
		if next.GiveUp {
			call.givenUp = true
			return
		}
		pause(ctx, next.Pause)
	}
}

// awaitsScore tells whether an item's result needs a score.
func awaitsScore(entry *wire.JobItem) bool { return entry.GetReward() != nil }
