// Package state is the replicated state machine of every consensus group. It composes the table, members, fencing
// tokens and weight versions of the control group (group 0) with the claims, samples and batch jobs of the ledger
// groups (1 to N), and with usage, and dispatches each command to its component. Equal sequences of commands give equal
// states and equal snapshots, byte for byte, on every node.
//
// The package uses no clock, no goroutine and no I/O. Apply commands in log order; a Machine is not safe for concurrent
// use.
package state

import (
	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/claim"
	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/fence"
	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/member"
	"github.com/tamarindring/tamarindring/internal/release"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/usage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// ControlGroup is the consensus group that holds the table, members, fencing tokens and weight versions.
const ControlGroup uint32 = 0

// LedgerGroup returns the ledger group, from 1 to ledgerGroups, that holds a claim's key or a trainer's name. The
// number of groups is fixed for the life of a cluster.
func LedgerGroup(key string, ledgerGroups int) uint32 {
	if ledgerGroups <= 1 {
		return 1
	}
	return 1 + uint32(xxhash.Sum64String(key)%uint64(ledgerGroups))
}

// Unsafe disables safety checks. Only tests set it, to show that they detect the resulting fault.
type Unsafe struct {
	Table  table.Unsafe
	Claim  claim.Unsafe
	Ledger ledger.Unsafe
	Fence  fence.Unsafe

	Release release.Unsafe
}

// Machine is the state of one consensus group.
type Machine struct {
	applied       uint64       // log index of the last command that was applied or skipped
	level         compat.Level // in force for the group
	unknownFields []byte       // encoded fields of the restored snapshot that this build does not know
	table         *table.Table
	members       *member.List
	fences        *fence.Registry
	claims        *claim.Store
	ledger        *ledger.Ledger

	releases *release.Registry
	jobs     *batch.Store
	usage    *usage.Ledger
}

// New returns an empty Machine.
func New() *Machine { return NewUnsafe(Unsafe{}) }

// NewUnsafe is New with safety checks disabled.
func NewUnsafe(unsafe Unsafe) *Machine {
	machine := &Machine{
		table:   table.NewUnsafe(unsafe.Table),
		members: member.New(),
		fences:  fence.NewUnsafe(unsafe.Fence),
		claims:  claim.NewUnsafe(unsafe.Claim),
		ledger:  ledger.NewUnsafe(unsafe.Ledger),

		releases: release.NewUnsafe(unsafe.Release),
		jobs:     batch.New(),
		usage:    usage.NewLedger(),
	}
	machine.setLevel(compat.Base)
	return machine
}

// AppliedIndex returns the log index of the last command that was applied or skipped; 0 if there was none.
func (m *Machine) AppliedIndex() uint64 { return m.applied }

// TableVersion returns the version of the table.
func (m *Machine) TableVersion() uint64 { return m.table.Version() }

// TableUpdate returns the update of the table from a version to the current one.
func (m *Machine) TableUpdate(fromVersion uint64) *wire.TableUpdate {
	return m.table.UpdateSince(fromVersion)
}

// queryTable returns the update of the table that a query asks for.
func (m *Machine) queryTable(query *wire.TableQuery) *wire.TableUpdate {
	if query.GetScope() == wire.TableScope_TABLE_SCOPE_FORWARDING {
		return m.table.ForwardingUpdateSince(query.GetKnownVersion())
	}
	return m.table.UpdateSince(query.GetKnownVersion())
}

// Members returns the list of members and its version.
func (m *Machine) Members() *wire.MembersView { return m.members.View() }

// Apply applies the command at a log index and returns its result, which is never nil. A malformed or unknown command
// only advances the applied index, and a command at an index that was applied before changes nothing. Both get
// Result.invalid, except that a malformed table change gets a table result with outcome INVALID. The Machine may retain
// parts of the command, so the caller must not modify it afterwards.
func (m *Machine) Apply(index uint64, command *wire.Command) *wire.Result {
	if index <= m.applied {
		return invalidResult(trace.BadParameter("index %d was applied before, up to %d", index, m.applied))
	}
	m.applied = index
	switch kind := command.GetKind().(type) {
	case *wire.Command_TableChange:
		return &wire.Result{Kind: &wire.Result_Table{Table: m.table.Apply(kind.TableChange)}}
	case *wire.Command_MemberUpdate:
		result, err := m.members.Apply(kind.MemberUpdate)
		if err != nil {
			return invalidResult(err)
		}
		return &wire.Result{Kind: &wire.Result_Member{Member: result}}
	case *wire.Command_FenceAcquire:
		result, err := m.fences.Acquire(kind.FenceAcquire)
		if err != nil {
			return invalidResult(err)
		}
		return &wire.Result{Kind: &wire.Result_Fence{Fence: result}}
	case *wire.Command_VersionRelease:
		token := m.fences.Current(release.Resource(kind.VersionRelease.GetPool())).GetToken()
		result, err := m.releases.Release(kind.VersionRelease, token)
		if err != nil {
			return invalidResult(err)
		}
		return &wire.Result{Kind: &wire.Result_Version{Version: result}}
	}
	if result, known := m.applyClaim(index, command); known {
		return result
	}
	if result, known := m.applySample(command); known {
		return result
	}
	if result, known := m.applyJob(command); known {
		return result
	}
	if result, known := m.applyUsage(command); known {
		return result
	}
	if kind, raises := command.GetKind().(*wire.Command_LevelRaise); raises {
		return &wire.Result{Kind: &wire.Result_Level{Level: m.raiseLevel(kind.LevelRaise)}}
	}
	return invalidResult(trace.BadParameter("command has no known kind"))
}

// applyUsage applies a command of the usage ledger, and reports whether the command is one.
func (m *Machine) applyUsage(command *wire.Command) (*wire.Result, bool) {
	var view *wire.UsageView
	var err error
	switch kind := command.GetKind().(type) {
	case *wire.Command_UsageAdd:
		view, err = m.usage.Add(kind.UsageAdd)
	case *wire.Command_UsageSeal:
		view, err = m.usage.Seal(kind.UsageSeal)
	case *wire.Command_UsageDeliver:
		view = m.usage.Deliver(kind.UsageDeliver)
	default:
		return nil, false
	}
	if err != nil {
		return invalidResult(err), true
	}
	return &wire.Result{Kind: &wire.Result_Usage{Usage: view}}, true
}

// applyJob applies a command of the batch jobs, and reports whether the command is one.
func (m *Machine) applyJob(command *wire.Command) (*wire.Result, bool) {
	var result *wire.JobReply
	var err error
	switch kind := command.GetKind().(type) {
	case *wire.Command_JobSubmit:
		result, err = m.jobs.Submit(kind.JobSubmit)
	case *wire.Command_JobStore:
		result, err = m.jobs.Store(kind.JobStore)
	case *wire.Command_JobEnd:
		result, err = m.jobs.End(kind.JobEnd)
	case *wire.Command_JobExpire:
		result, err = m.jobs.Expire(kind.JobExpire)
	default:
		return nil, false
	}
	if err != nil {
		return invalidResult(err), true
	}
	return &wire.Result{Kind: &wire.Result_Job{Job: result}}, true
}

// applyClaim applies a command of the claims, and reports whether the command is one.
func (m *Machine) applyClaim(index uint64, command *wire.Command) (*wire.Result, bool) {
	var result *wire.ClaimResult
	var err error
	switch kind := command.GetKind().(type) {
	case *wire.Command_ClaimBegin:
		result, err = m.claims.Begin(index, kind.ClaimBegin)
	case *wire.Command_ClaimFinish:
		result, err = m.claims.Finish(index, kind.ClaimFinish)
	case *wire.Command_ClaimRelease:
		result, err = m.claims.Release(index, kind.ClaimRelease)
	case *wire.Command_ClaimRefuse:
		result, err = m.claims.Refuse(index, kind.ClaimRefuse)
	case *wire.Command_ClaimOrphan:
		result, err = m.claims.Orphan(index, kind.ClaimOrphan)
	case *wire.Command_ClaimExpire:
		result, err = m.claims.Expire(index, kind.ClaimExpire)
	default:
		return nil, false
	}
	if err != nil {
		return invalidResult(err), true
	}
	return &wire.Result{Kind: &wire.Result_Claim{Claim: result}}, true
}

// applySample applies a command of the sample ledger, and reports whether the command is one.
func (m *Machine) applySample(command *wire.Command) (*wire.Result, bool) {
	var result *wire.SampleResult
	var err error
	switch kind := command.GetKind().(type) {
	case *wire.Command_StepOpen:
		result, err = m.ledger.Open(kind.StepOpen)
	case *wire.Command_SampleStore:
		result, err = m.ledger.Store(kind.SampleStore)
	case *wire.Command_BatchSeal:
		result, err = m.ledger.Seal(kind.BatchSeal)
	case *wire.Command_BatchDiscard:
		result, err = m.ledger.Discard(kind.BatchDiscard)
	case *wire.Command_BatchAcknowledge:
		result, err = m.ledger.Acknowledge(kind.BatchAcknowledge)
	default:
		return nil, false
	}
	if err != nil {
		return invalidResult(err), true
	}
	return &wire.Result{Kind: &wire.Result_Sample{Sample: result}}, true
}

// invalidResult returns the result of a malformed command. Its text is part of the replicated results.
func invalidResult(err error) *wire.Result {
	return &wire.Result{Kind: &wire.Result_Invalid{Invalid: err.Error()}}
}

// Query answers from the current state, and reads what is not in memory. A caller that needs a linearizable answer must
// pass a read barrier first. A query of an unknown kind gets an empty View. A StatusView has only the fields that the state
// machine knows.
func (m *Machine) Query(query *wire.Query) (*wire.View, error) {
	view, load := m.Prepare(query)
	if load == nil {
		return view, nil
	}
	return load()
}

// Prepare is Query without reading. Where the answer may need content that is not in memory, view is nil and load reads
// it; load may run concurrently with later commands.
func (m *Machine) Prepare(query *wire.Query) (view *wire.View, load func() (*wire.View, error)) {
	switch kind := query.GetKind().(type) {
	case *wire.Query_JobResults:
		return answer(m.jobs.Results(kind.JobResults), func(view *wire.JobResultsView) *wire.View {
			return &wire.View{Kind: &wire.View_JobResults{JobResults: view}}
		})
	case *wire.Query_JobItem:
		return answer(m.jobs.Item(kind.JobItem), func(view *wire.JobItemView) *wire.View {
			return &wire.View{Kind: &wire.View_JobItem{JobItem: view}}
		})
	}
	return m.queryMemory(query), nil
}

// answer returns the answer to a query of batch jobs as a view of the whole machine.
func answer[V any](reading batch.Reading[V], wrap func(V) *wire.View) (*wire.View, func() (*wire.View, error)) {
	if reading.Load == nil {
		return wrap(reading.View), nil
	}
	return nil, func() (*wire.View, error) {
		view, err := reading.Load()
		if err != nil {
			return nil, err
		}
		return wrap(view), nil
	}
}

// queryMemory answers a query whose answer is always in memory.
func (m *Machine) queryMemory(query *wire.Query) *wire.View {
	switch kind := query.GetKind().(type) {
	case *wire.Query_Table:
		return &wire.View{Kind: &wire.View_Table{Table: m.queryTable(kind.Table)}}
	case *wire.Query_History:
		entries := m.table.History(kind.History.GetRow(), kind.History.GetColumn(), int(kind.History.GetLimit()))
		return &wire.View{Kind: &wire.View_History{History: &wire.HistoryView{Entries: entries}}}
	case *wire.Query_Members:
		return &wire.View{Kind: &wire.View_Members{Members: m.members.Changes(kind.Members.GetKnownVersion())}}
	case *wire.Query_Claim:
		result := m.claims.Get(kind.Claim.GetKey())
		result.Index = m.applied
		return &wire.View{Kind: &wire.View_Claim{Claim: result}}
	case *wire.Query_Trainer:
		if ids := kind.Trainer.GetSampleIds(); len(ids) > 0 {
			return &wire.View{Kind: &wire.View_Trainer{Trainer: m.ledger.Samples(kind.Trainer.GetTrainer(), ids)}}
		}
		view := m.ledger.View(kind.Trainer.GetTrainer(), kind.Trainer.GetWithSamples())
		return &wire.View{Kind: &wire.View_Trainer{Trainer: view}}
	case *wire.Query_Versions:
		return &wire.View{Kind: &wire.View_Versions{Versions: m.releases.View(kind.Versions.GetPool())}}
	case *wire.Query_Trainers:
		return &wire.View{Kind: &wire.View_Trainers{Trainers: &wire.TrainersView{OpenTrainers: m.ledger.OpenTrainers()}}}
	case *wire.Query_Fence:
		return &wire.View{Kind: &wire.View_Fence{Fence: m.fences.Current(kind.Fence.GetResource())}}
	case *wire.Query_JobWork:
		return &wire.View{Kind: &wire.View_JobWork{JobWork: m.jobs.Work(kind.JobWork)}}
	case *wire.Query_JobRoom:
		return &wire.View{Kind: &wire.View_JobRoom{JobRoom: m.jobs.Room(kind.JobRoom)}}
	case *wire.Query_Usage:
		return &wire.View{Kind: &wire.View_Usage{Usage: m.usage.View()}}
	case *wire.Query_Status:
		return &wire.View{Kind: &wire.View_Status{Status: m.status()}}
	default:
		return &wire.View{}
	}
}

func (m *Machine) status() *wire.StatusView {
	return &wire.StatusView{
		AppliedIndex: m.applied, TableVersion: m.table.Version(),
		Claims: uint64(m.claims.Len()), ClaimOwners: m.claims.Owners(),
		Level: uint32(m.level), Speaks: uint32(compat.Newest),
		Jobs: uint64(m.jobs.Len()), JobBytes: uint64(m.jobs.HeldBytes()),
	}
}
