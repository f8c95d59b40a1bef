package poisonguard

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// Ending classifies how a run ended.
type Ending uint8

// The endings.
const (
	NotRun       Ending = iota // the run never began
	Answered                   // the answer was complete, with any status: the back end survived the run
	Stopped                    // the caller or this process stopped the run
	Interrupted                // the request may have run, and it is not known yet whether the back end crashed
	Crashed                    // the back end crashed
	CrashedBySum               // the back end crashed because of its large requests together, not because of a single one
)

// EndingOf returns the ending of a call to a back end that was not stopped.
func EndingOf(outcome replica.Outcome) Ending {
	switch {
	case outcome.Verdict == verdict.DidNotRun:
		return NotRun
	case outcome.Complete:
		return Answered
	case outcome.Peer == replica.PeerGone:
		return Crashed
	}
	return Interrupted
}

// Run is one permitted run of a request at one back end.
type Run struct {
	guard    *Guard
	identify func() poison.Identity // must not be called after the run has ended, as the request may change then
	digest   poison.Digest          // NoDigest until it is needed
	subject  string                 // set together with digest
	owed     bool                   // set together with digest; see poison.Identity.Owed
	pool     string                 // in which the request will run; empty: not known yet
	judged   poison.Judgment
	claim    string // name of the run's claim; empty if the run was not claimed
	trial    bool   // the run was claimed, and its crash speaks against the request
	instance string // empty until the back end is chosen
	address  string
	ownCrash string // name of its crash if the start of the back end is not known; empty until it is needed
	placed   bool   // the run is counted in Guard.suspectRuns
}

// Begin asks for one run of a request. The run is nil if the request must not run now. Otherwise the caller ends the
// run with End, or with NoteEnding and the function that NoteEnding returns. identify is called only if there are
// suspects or a back end crashes. If this process observed a crash of the request that is not on record yet, Begin
// waits until it is, for maximumRecordWait at most and no longer than ctx. A run before that could crash another back
// end of which only this process would know.
func (g *Guard) Begin(ctx context.Context, identify func() poison.Identity) (*Run, poison.Judgment) {
	return g.BeginInPool(ctx, "", identify)
}

// BeginInPool is like Begin for a request that will run in a pool that is known already.
func (g *Guard) BeginInPool(ctx context.Context, pool string, identify func() poison.Identity) (*Run, poison.Judgment) {
	run := &Run{guard: g, identify: identify, pool: pool}
	if g.hasNoSuspects() {
		return run, poison.Judgment{}
	}
	run.ensureDigest()
	return run.begin(ctx, run.judgeRecorded(ctx))
}

// TryBegin is like Begin, but does not wait for the record. It is meant for a hedged run beside another one.
func (g *Guard) TryBegin(ctx context.Context, identify func() poison.Identity) (*Run, poison.Judgment) {
	run := &Run{guard: g, identify: identify}
	if g.hasNoSuspects() {
		return run, poison.Judgment{}
	}
	run.ensureDigest()
	judged, _ := run.judge()
	return run.begin(ctx, judged)
}

// begin permits, claims or refuses the run according to a judgment.
func (r *Run) begin(ctx context.Context, judged poison.Judgment) (*Run, poison.Judgment) {
	r.judged = judged
	switch judged.Permission {
	case poison.Blocked:
		r.guard.counts.refused.WithLabelValues(judged.Permission.String()).Inc()
		return nil, judged
	case poison.Trial:
		return r.claimRun(ctx)
	}
	return r, judged
}

// failedClaimRest is the rest of a request whose run another process has just claimed, or whose claim was not answered.
const failedClaimRest = time.Second

// claimRun claims the only run of a suspect that is permitted at a time in the whole deployment. An owed request runs
// also if its claim is not answered in time: it has rested, and must not wait for the control group without end.
func (r *Run) claimRun(ctx context.Context) (*Run, poison.Judgment) {
	name := rand.Text()[:claimNameLength]
	r.guard.noteClaimSent(r.digest, name)
	outcome, err := r.guard.send(ctx, poison.StepRequest{Step: poison.Claim, Digest: r.digest, Claim: name, Basis: r.judged.Basis})
	switch granted := err == nil && outcome.Done; {
	case granted && outcome.Crashes == 0: // the suspect was cleared meanwhile, so that there is nothing to claim
		r.guard.noteClaimEnded(r.digest, name)
	case granted:
		r.claim = name
	case err != nil && r.owed && ctx.Err() == nil:
		r.guard.counts.unclaimed.WithLabelValues().Inc()
		r.claim = name
	default:
		return nil, r.refuseClaim(name, err)
	}
	r.trial = !r.owed
	return r, r.judged
}

// refuseClaim returns the judgment of a run whose claim was overtaken, or failed with err. In the latter case the claim
// may be taken later, and is returned then.
func (r *Run) refuseClaim(name string, err error) poison.Judgment {
	r.guard.noteClaimEnded(r.digest, name)
	if err != nil {
		r.guard.postpone(poison.StepRequest{Step: poison.Return, Digest: r.digest, Claim: name})
	}
	r.guard.counts.refused.WithLabelValues(poison.Trial.String()).Inc()
	return poison.Judgment{Permission: poison.Blocked, Crashes: r.judged.Crashes, Recorded: r.judged.Recorded, Remaining: failedClaimRest}
}

// claimNameLength is enough to distinguish the claims of one request, of which few are on record at a time.
const claimNameLength = 8

// ensureDigest returns the digest of the run's request and computes it on the first call, together with the subject.
func (r *Run) ensureDigest() poison.Digest {
	if r.digest == poison.NoDigest {
		identity := r.identify()
		r.digest, r.subject, r.owed = identity.Digest(), identity.Subject(), identity.Owed
	}
	return r.digest
}

// Suspected reports whether the request is a suspect, so that it must not be hedged by a second run.
func (r *Run) Suspected() bool { return r.judged.Permission != poison.Free }

// Claimed reports whether the run holds the claim of its request. A claimed run stays permitted regardless of what
// other processes do. Any other run must be requested again before it is sent under a newer table.
func (r *Run) Claimed() bool { return r.claim != "" }

// SetBackEnd notes the back end to which the run is sent.
func (r *Run) SetBackEnd(instance, address string) {
	r.instance, r.address = instance, address
	if r.Suspected() {
		r.guard.addSuspectRuns(instance, 1)
		r.placed = true
	}
}

// ClearBackEnd notes that the run is not, or no longer, at the back end that was passed to SetBackEnd.
func (r *Run) ClearBackEnd() {
	if r.placed {
		r.guard.addSuspectRuns(r.instance, -1)
		r.placed = false
	}
}

// End notes how the run ended and returns once that is on record, or after sendTimeout. For an answered run it returns
// at once and records the ending in the background, so that the answer is not delayed.
func (r *Run) End(ctx context.Context, ending Ending) {
	settle := r.NoteEnding(ending)
	if ending == Answered {
		go settle(ctx)
		return
	}
	settle(ctx)
}

// NoteEnding notes how the run ended in this process only, which takes it into account from then on. The returned
// function puts the ending on record and must be called.
func (r *Run) NoteEnding(ending Ending) (settle func(ctx context.Context)) {
	r.ClearBackEnd()
	switch {
	case ending == CrashedBySum && r.Suspected():
		ending = Crashed // a suspect may itself have caused the crash
	case ending == Crashed && r.guard.isLeaving(r.instance):
		ending = Stopped // the planned end of a back end interrupts its remaining runs
	case ending == Interrupted:
		r.ensureDigest()
		unclaimed := *r // the claim is returned now, so a crash that is detected later must be counted
		unclaimed.claim = ""
		r.guard.rememberBroken(&unclaimed)
	}
	if ending == Crashed {
		r.noteCrash()
	}
	if r.Claimed() {
		r.guard.noteClaimEnded(r.ensureDigest(), r.claim)
	}
	if ending != Crashed && !r.Claimed() && (ending != Answered || !r.Suspected()) {
		return func(context.Context) {}
	}
	return func(ctx context.Context) { r.recordEnding(ctx, ending) }
}

// noteCrash notes the crash in the book of this process.
func (r *Run) noteCrash() {
	digest := r.ensureDigest()
	r.guard.counts.crashes.WithLabelValues().Inc()
	r.guard.mutex.Lock()
	defer r.guard.mutex.Unlock()
	now := r.guard.config.Clock()
	r.guard.book.Crashed(now, digest, poison.Crash{Instance: r.crashName(), EndedAt: now, Counted: r.Claimed()})
}

// crashName returns the name under which the crash of the run's back end is recorded. It is the instance, so that all
// processes that observed the crash use the same name. If the start of the back end is not known, its next crash would
// have the same instance, so each run uses a name of its own.
func (r *Run) crashName() string {
	if incarnation.Parse(r.instance).Start > 0 {
		return r.instance
	}
	if r.ownCrash == "" {
		r.ownCrash = r.instance + "#" + rand.Text()[:suffixLength]
	}
	return r.ownCrash
}

// suffixLength is enough to distinguish the crashes of one back end, of which few are on record at a time.
const suffixLength = 6

// recordEnding puts the ending of a run on record. It ignores the cancellation of ctx because the caller may be gone by
// then.
func (r *Run) recordEnding(ctx context.Context, ending Ending) {
	ctx = context.WithoutCancel(ctx)
	switch ending {
	case Crashed:
		digest := r.ensureDigest() // also sets the subject
		r.guard.deliver(ctx, poison.StepRequest{Step: poison.Report, Digest: digest, Instance: r.crashName(), Subject: r.subject, Claim: r.claim, Trial: r.trial})
	case Answered:
		r.guard.deliver(ctx, poison.StepRequest{Step: poison.Clear, Digest: r.ensureDigest()})
	default:
		r.guard.deliver(ctx, poison.StepRequest{Step: poison.Return, Digest: r.ensureDigest(), Claim: r.claim})
	}
}
