package capacity

import (
	"fmt"

	"github.com/tamarindring/tamarindring/internal/bench/controlbench"
	"github.com/tamarindring/tamarindring/internal/bench/gatewaybench"
)

const secondsPerDay = 86_400

// Role is what one role holds and does at the target size; each figure is of one process of it.
type Role struct {
	Name      string
	Count     string
	State     string
	Messages  string
	Processor string
	Memory    string
	Disk      string
	Mechanism string
}

// figures are the target's derived numbers, each worked out once.
type figures struct {
	*Report
	claimRate    float64 // claims a second
	keys         float64 // claims that are remembered at once
	openStreams  float64 // at once, over all gateways
	samplesHeld  float64
	sampleRate   float64 // a second
	keysPerGroup float64
}

func newFigures(report *Report) figures {
	target := report.Target
	f := figures{Report: report}
	f.claimRate = target.RequestsPerSecond * target.NonRepeatable
	f.keys = f.claimRate * target.ClaimKeyHours * 3600
	f.keysPerGroup = f.keys / float64(target.LedgerGroups)
	f.openStreams = target.TokensPerSecond * target.TokenStepSeconds
	f.samplesHeld = float64(target.Trainers * target.SamplesPerStep)
	f.sampleRate = f.samplesHeld / (target.StepMinutes * 60)
	return f
}

// cores and size print an estimate with its basis.
func cores(e Estimate) string { return coresText(e.Value) + " (" + e.Basis() + ")" }
func size(e Estimate) string  { return bytesText(e.Value) + " (" + e.Basis() + ")" }
func flow(e Estimate) string  { return bytesText(e.Value) + "/s (" + e.Basis() + ")" }

// changesPerSecond is the target's rate of table changes.
func (f figures) changesPerSecond() float64 { return f.Target.ChangesPerDay / secondsPerDay }

// sessionCores is the processor time of one node's session, both sides of it, changes included.
func (f figures) sessionCores() Estimate {
	nodes := float64(f.Target.Nodes)
	idle := f.each(controlbench.ProcessIdle, nodes).times(1 / nodes)
	changes := f.each(controlbench.ChangeProcess, nodes).times(f.changesPerSecond() / nodes)
	return idle.plus(changes)
}

// sessionBytes is the traffic of one node's session, changes included.
func (f figures) sessionBytes() Estimate {
	nodes := float64(f.Target.Nodes)
	idle := f.each(controlbench.TrafficIdle, nodes).times(1 / nodes)
	return idle.plus(f.each(controlbench.ChangeTraffic, nodes).times(f.changesPerSecond() / nodes))
}

// sessionMemory is the memory of one node's session, both sides of it.
func (f figures) sessionMemory() Estimate {
	nodes := float64(f.Target.Nodes)
	return f.each(controlbench.Memory, nodes).times(1 / nodes)
}

// roles lists every role at the target size.
func (f figures) roles() []Role {
	return []Role{f.controlLeader(), f.ledgerNode(), f.gatewayRole(), f.coordinatorRole()}
}

func (f figures) controlLeader() Role {
	target := f.Target
	nodes := float64(target.Nodes)
	renewals := nodes / (f.Sessions.LeaseSeconds / renewalsPerLease)
	return Role{
		Name:  "leader of the control group",
		Count: "1 of the voters of group 0",
		State: fmt.Sprintf("table of %d rows, %d members, a lease each: snapshot %s", target.Replicas, target.Nodes,
			size(f.at(StateSnapshot(StateRows), float64(target.Replicas)))),
		Messages: fmt.Sprintf("%s renewals/s in, as many grants out; %s table changes a day, each to %d nodes: %s for each change; all sessions idle %s",
			number(renewals), number(target.ChangesPerDay), target.Nodes, size(f.at(controlbench.ChangeTraffic, nodes)), flow(f.at(controlbench.TrafficIdle, nodes))),
		Processor: fmt.Sprintf("idle %s, nodes' side and voters' heartbeats included; a change %s s of work over both sides (%s)",
			cores(f.at(controlbench.ProcessIdle, nodes)), number(f.at(controlbench.ChangeProcess, nodes).Value), f.at(controlbench.ChangeProcess, nodes).Basis()),
		Memory:    size(f.at(controlbench.Memory, nodes)) + " for all sessions, nodes' side included",
		Disk:      "one synced write for each change or member event: " + number((target.ChangesPerDay+2*(target.FailuresPerDay+target.RestartsPerDay))/secondsPerDay*3600) + " an hour",
		Mechanism: "leases granted in batches under one read round; one delta serves all nodes at the same version; raft snapshot for those far behind",
	}
}

// renewalsPerLease is how often a session renews, as in package controlclient.
const renewalsPerLease = 6

func (f figures) ledgerNode() Role {
	target := f.Target
	perNode := 1 / float64(f.Claims.Nodes)
	return Role{
		Name:  "control machine that holds every ledger group",
		Count: fmt.Sprintf("%d machines; today each holds all groups; measured with %d voters", target.ControlMachines, f.Claims.Nodes),
		State: fmt.Sprintf("%s keys of claims (%s h at %s claims/s), %s samples not yet delivered",
			number(f.keys), number(target.ClaimKeyHours), number(f.claimRate), number(f.samplesHeld)),
		Messages: fmt.Sprintf("%s claims/s of two commands each, %s samples/s; traffic of a node %s",
			number(f.claimRate), number(f.sampleRate), flow(f.at(ClaimBytes, f.claimRate).times(perNode))),
		Processor: fmt.Sprintf("claims %s, samples %s", cores(f.at(ClaimCores, f.claimRate).times(perNode)),
			cores(f.each(SampleCores, f.samplesHeld).times(perNode/(target.StepMinutes*60)))),
		Memory: fmt.Sprintf("claims %s, samples %s", size(f.each(StateMemory(StateClaims), f.keys)), size(f.each(StateMemory(StateSamples), f.samplesHeld))),
		Disk: fmt.Sprintf("claims %s, samples %s, without snapshots", flow(f.at(ClaimDisk, f.claimRate).times(perNode)),
			flow(f.each(SampleDisk, f.samplesHeld).times(perNode/(target.StepMinutes*60)))),
		Mechanism: "groups sharded by hash of key and of trainer; group commit: one synced write for all groups' pending work; snapshots and compaction",
	}
}

func (f figures) gatewayRole() Role {
	target := f.Target
	gateways := float64(target.Gateways)
	requests, tokens, streams := target.RequestsPerSecond/gateways, target.TokensPerSecond/gateways, f.openStreams/gateways
	replicas := float64(target.Replicas)
	return Role{
		Name:  "gateway",
		Count: number(gateways),
		State: fmt.Sprintf("table of %d rows, its lease, %s open streams; nothing that must survive", target.Replicas, number(streams)),
		Messages: fmt.Sprintf("%s requests/s and %s tokens/s through it; %s load reports/s in (%s); session %s",
			number(requests), number(tokens), number(f.measured(PollCount, replicas).Value), flow(f.measured(PollTraffic, replicas)), flow(f.sessionBytes())),
		Processor: fmt.Sprintf("requests %s, tokens %s, load reports %s, session %s",
			cores(f.each(gatewaybench.ClaimedCores, requests)), cores(f.each(gatewaybench.TokenCores, tokens)), cores(f.measured(PollCores, replicas)), cores(f.sessionCores())),
		Memory: fmt.Sprintf("streams %s, engine's and caller's side included; back ends %s; session %s",
			size(f.each(gatewaybench.StreamBytes, streams)), size(f.each(PollMemory, replicas)), size(f.sessionMemory())),
		Disk:      "none",
		Mechanism: "pure dispatch machine for each request; power of few choices over weights, own work in flight and load reports; claims in the ledger groups",
	}
}

func (f figures) coordinatorRole() Role {
	target := f.Target
	return Role{
		Name:  "coordinator",
		Count: number(float64(target.Coordinators)) + ", one owner for each trainer",
		State: fmt.Sprintf("the plan of %d samples of its trainer's step; all that must survive is in a ledger group", target.SamplesPerStep),
		Messages: fmt.Sprintf("%s samples/s over all trainers, generated through gateways, scored, stored; with the replicas, where it owns their wave, %s in a wave, %s between",
			number(f.sampleRate), flow(f.measured(WaveTraffic, float64(target.Replicas))), flow(f.measured(QuietTraffic, float64(target.Replicas)))),
		Processor: fmt.Sprintf("%s for samples of %d tokens; %s while a wave runs, %s s every %s minutes", cores(f.each(CoordinatorCores,
			float64(target.SamplesPerStep)).times(1/(target.StepMinutes*60))), f.Coordinator.Tokens, cores(f.measured(WaveCores, float64(target.Replicas))),
			number(f.measured(WaveTime, float64(target.Replicas)).Value), number(target.WeightMinutes)),
		Memory:    fmt.Sprintf("%s for its step, the ledger's and the engines' memory of it included", size(f.each(CoordinatorMemory, float64(target.SamplesPerStep)))),
		Disk:      "none",
		Mechanism: "owner by hash among the live coordinators with a fencing token; a new owner reads the step from the ledger",
	}
}
