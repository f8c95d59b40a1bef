package sim

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Invariants that the simulator checks in addition to the promises of package invariant.
const (
	replicasAgree invariant.Name = "replicas-agree" // all replicas of a group apply the same entries with the same results
	changeOnce    invariant.Name = "change-once"    // a resent change gets the same answer; one of two rivals is accepted
	fenceOrder    invariant.Name = "fence-order"    // an engine executes no order with a superseded fencing token
	recovers      invariant.Name = "recovers"       // the fleet works again after the faults have ended
)

// inForceSlack is added to the bound of the leases to cover the time that an answer spends in the network.
const inForceSlack = 100 * time.Millisecond

// position identifies an entry of a group's log.
type position struct {
	group uint32
	index uint64
}

// appliedEntry holds what the first replica that applied an entry saw.
type appliedEntry struct {
	term         uint64
	digest       uint64
	resultDigest uint64
}

// arrivalRecord records when an attempt that ran had reached its gateway.
type arrivalRecord struct {
	attempt string
	at      time.Duration
}

// callRecord records what really happened to one call.
type callRecord struct {
	runs               int
	arrivals           []arrivalRecord // of the attempts that ran
	refusedAt          time.Duration   // when the last refusal of the key was first applied
	earliestRunArrival time.Duration   // no attempt that arrived before this time may run
}

// acceptedChange is an accepted change of the table.
type acceptedChange struct {
	change *wire.TableChange
	result *wire.TableResult
	at     time.Duration // when the first replica applied it
}

// truth records what really happened in the simulated fleet and checks what the fleet's processes do and report
// against it.
type truth struct {
	world    *world
	registry *invariant.Registry
	halted   bool
	problem  string

	entries         map[position]*appliedEntry
	calls           map[string]*callRecord // by idempotency key, or by call id for calls without a key
	accepted        []acceptedChange       // in order of version, starting with version 1
	changeAnswers   map[string]string      // first answer, by change id
	stalenessBounds map[uint64]uint64      // staleness bound, by table version
	tableDigests    map[uint64]uint64      // digest of the table, by version
	inForce         uint64                 // highest version that a control node reported in force
	answeredVersion uint64                 // highest version in an answer to an operator
	requiredVersion int                    // oldest version that the lease bound still permits to act on

	tokens        map[string][]tokenRun // generated token runs, by sample id
	sampleCursors map[string]uint64     // cursor at which a trainer received a sample, by sample id
	engineFences  map[string]uint64     // highest fencing token executed, by engine and run

	completed, refused, unknown, samples uint64
}

func newTruth(w *world, scenario *Scenario) *truth {
	return &truth{world: w, registry: invariant.NewRegistry(scenario.expectedInvariants()...),
		entries: map[position]*appliedEntry{}, calls: map[string]*callRecord{},
		changeAnswers: map[string]string{}, tableDigests: map[uint64]uint64{},
		stalenessBounds: map[uint64]uint64{}, tokens: map[string][]tokenRun{}, sampleCursors: map[string]uint64{}, engineFences: map[string]uint64{}}
}

func (t *truth) isStopped() bool { return t.halted }

// examine counts one event for an invariant and stops the run at the first violation.
func (t *truth) examine(name invariant.Name, holds bool, format string, arguments ...any) {
	if t.registry.Examine(name, holds, format, arguments...) || t.halted {
		return
	}
	t.halt(fmt.Sprintf("%s: %s", name, fmt.Sprintf(format, arguments...)))
}

func (t *truth) halt(problem string) {
	t.halted, t.problem = true, problem
	t.world.tracef("VIOLATION", "%s", problem)
}

// reportFailure records that a part of the fleet failed in a way that must never occur. It counts as a violation of
// replicas-agree.
func (t *truth) reportFailure(format string, arguments ...any) {
	t.examine(replicasAgree, false, format, arguments...)
}

func hash(data []byte) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write(data)
	return digest.Sum64()
}

func digestOf(message proto.Message) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return 0
	}
	return hash(data)
}

// recordEntry checks that all replicas of a group apply the same entries.
func (t *truth) recordEntry(g *group, entry *raft.Entry) {
	at := position{g.id, entry.Index}
	digest := hash(entry.Data)
	known := t.entries[at]
	if known == nil {
		t.entries[at] = &appliedEntry{term: entry.Term, digest: digest}
		return
	}
	t.examine(replicasAgree, known.term == entry.Term && known.digest == digest,
		"node %d applies another entry at %d of group %d (term %d) than the first replica (term %d)", g.host.id, entry.Index, g.id, entry.Term, known.term)
}

// recordResult checks that all replicas get the same result for a command. The result of the first replica is the
// reference.
func (t *truth) recordResult(g *group, index uint64, command *wire.Command, result *wire.Result) {
	known := t.entries[position{g.id, index}]
	digest := digestOf(result)
	if known.resultDigest != 0 {
		t.examine(replicasAgree, known.resultDigest == digest, "node %d gets another result at %d of group %d", g.host.id, index, g.id)
		return
	}
	known.resultDigest = digest
	if change := command.GetTableChange(); change != nil {
		t.recordChange(g, change, result.GetTable())
	}
	if refusal := command.GetClaimRefuse(); refusal != nil && result.GetClaim().GetState() == wire.ClaimState_CLAIM_STATE_UNSPECIFIED {
		t.call(refusal.Key).refusedAt = t.world.now
	}
}

func (t *truth) call(name string) *callRecord {
	known := t.calls[name]
	if known == nil {
		known = &callRecord{}
		t.calls[name] = known
	}
	return known
}

// recordExecution records that a back end runs a request.
func (t *truth) recordExecution(b *backend, request *invocation) {
	made := request.call
	b.tracef("runs %s of call %s", request.requestID, made.id)
	known := t.call(made.name())
	known.runs++
	known.arrivals = append(known.arrivals, arrivalRecord{request.attempt, request.arrivedAt})
	t.examine(invariant.RunAtMostOnce, made.repeatable || known.runs == 1, "call %s with key %q ran %d times, now as %s at %s",
		made.id, made.key, known.runs, request.requestID, b.name)
	if !made.repeatable && known.earliestRunArrival > 0 {
		t.examine(invariant.NotRunIsFinal, request.arrivedAt >= known.earliestRunArrival, "call %s runs as %s, which arrived at %v, although its caller was told that no attempt from before %v runs",
			made.id, request.requestID, request.arrivedAt, known.earliestRunArrival)
	}
}

// recordAnswer checks what a gateway reports to its caller about a call.
func (t *truth) recordAnswer(x *exchange, outcome *dispatch.Outcome) {
	x.gateway.tracef("answers call %s: %d %v %s", x.call.id, outcome.Status, outcome.Verdict, outcome.Code)
	if x.gateway.fleet.plannedOnly {
		t.examine(invariant.PlannedStop, outcome.Verdict != verdict.MayHaveRun, "call %s ended as \"may have run\" (%s), although processes only stop by plan", x.call.id, outcome.Code)
	}
	if outcome.Verdict != verdict.DidNotRun || x.call.repeatable {
		return
	}
	known := t.call(x.call.name())
	attempt := x.machine.Request().Attempt
	ran := slices.ContainsFunc(known.arrivals, func(a arrivalRecord) bool { return a.attempt == attempt })
	t.examine(invariant.NotRunIsFinal, !ran, "%s said that call %s did not run, but it ran", attempt, x.call.id)
	floor := t.world.now
	if known.refusedAt >= x.arrivedAt {
		floor = known.refusedAt
	}
	if x.call.key == "" {
		return
	}
	known.earliestRunArrival = max(known.earliestRunArrival, floor)
	for _, arrival := range known.arrivals {
		t.examine(invariant.NotRunIsFinal, arrival.at >= known.earliestRunArrival, "%s said that call %s did not run, but %s, which arrived at %v, ran",
			attempt, x.call.id, arrival.attempt, arrival.at)
	}
}

// tableDigest returns a digest of the content of a table.
func tableDigest(view *table.View) uint64 {
	var text strings.Builder
	for _, row := range view.Rows() {
		text.WriteString(row.Name)
		for _, column := range table.Schema() {
			if value, ok := row.Explicit(column.Name); ok {
				text.WriteString(" " + column.Name + "=" + value)
			}
		}
		text.WriteString("\n")
	}
	return hash([]byte(text.String()))
}

// recordChange records a table change when the first replica applies it.
func (t *truth) recordChange(g *group, change *wire.TableChange, result *wire.TableResult) {
	g.host.world.tracef("truth", "change %s against %d: %v, version %d", change.ChangeId, change.BaseVersion, result.Outcome, result.Version)
	if result.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED || int(result.Version) != len(t.accepted)+1 {
		return
	}
	for _, earlier := range t.accepted[min(int(change.BaseVersion), len(t.accepted)):] {
		t.examine(changeOnce, earlier.change.ChangeId == change.ChangeId || !changesSameCell(earlier.change, change),
			"changes %s and %s of one cell were both accepted against version %d or later", earlier.change.ChangeId, change.ChangeId, change.BaseVersion)
	}
	for _, earlier := range t.accepted {
		t.examine(changeOnce, earlier.change.ChangeId != change.ChangeId, "change %s was accepted twice, as versions %d and %d",
			change.ChangeId, earlier.result.Version, result.Version)
	}
	t.accepted = append(t.accepted, acceptedChange{change: change, result: result, at: t.world.now})
	view, err := table.NewView().Apply(g.machine.TableUpdate(0))
	if err != nil {
		t.reportFailure("the table cannot be read: %v", err)
		return
	}
	t.tableDigests[result.Version] = tableDigest(view)
	if row := view.Pool(modelPool); row != nil {
		t.stalenessBounds[result.Version] = uint64(row.StalenessBound)
	}
}

func changesSameCell(a, b *wire.TableChange) bool {
	for _, one := range a.Cells {
		for _, other := range b.Cells {
			if one.Row == other.Row && one.Column == other.Column {
				return true
			}
		}
	}
	return false
}

// recordChangeAnswer checks that every answer to an operator about a change is the same.
func (t *truth) recordChangeAnswer(change *wire.TableChange, result *wire.TableResult) {
	answer := fmt.Sprintf("%v at version %d", result.Outcome, result.Version)
	firstAnswer, known := t.changeAnswers[change.ChangeId]
	t.examine(changeOnce, !known || firstAnswer == answer, "change %s was answered %q first and %q later", change.ChangeId, firstAnswer, answer)
	if !known {
		t.changeAnswers[change.ChangeId] = answer
	}
	if result.Outcome == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.answeredVersion = max(t.answeredVersion, result.Version)
	}
}

// checkTableRead checks that a read of the table shows all changes that were answered before the read was sent.
// minimumVersion is the highest version answered by then.
func (t *truth) checkTableRead(who string, view *table.View, minimumVersion uint64) {
	t.examine(invariant.TableNoReversal, view.Version() >= minimumVersion, "%s reads table version %d after version %d was answered", who, view.Version(), minimumVersion)
	t.checkTableContent(who, view)
}

func (t *truth) checkView(p *process, view *table.View) {
	p.tracef("acts on table version %d", view.Version())
	t.checkTableContent(p.name, view)
}

func (t *truth) checkTableContent(who string, view *table.View) {
	if view.Version() > 0 {
		t.examine(invariant.TableNoReversal, t.tableDigests[view.Version()] == tableDigest(view), "%s has a table whose content differs from the accepted one at version %d", who, view.Version())
	}
}

// recordInForce records that a control node reports that no process acts on an older version.
func (t *truth) recordInForce(h *host, version uint64) {
	if version > t.inForce {
		h.tracef("reports version %d in force", version)
		t.inForce = version
	}
}

// checkDispatch checks the table version under which a process acts. It must be neither older than a version that was
// reported in force nor older than one accepted longer ago than the lease bound.
func (t *truth) checkDispatch(p *process, action string, version uint64) {
	t.examine(invariant.TableInForce, version >= t.inForce, "%s acts (%s) under table version %d, but version %d was reported in force",
		p.name, action, version, t.inForce)
	bound := leaseSettings().Bound() + inForceSlack
	for t.requiredVersion < len(t.accepted) && t.accepted[t.requiredVersion].at+bound < t.world.now {
		t.requiredVersion++
	}
	t.examine(invariant.TableInForce, int(version) >= t.requiredVersion, "%s acts (%s) under table version %d, but version %d was accepted more than %v ago",
		p.name, action, version, t.requiredVersion, bound)
}
