package capacity

import (
	"sort"

	"github.com/tamarindring/tamarindring/internal/bench/controlbench"
)

// Limit is a quantity at the target beside what it may be.
type Limit struct {
	What    string
	Need    string
	Allowed string
	Basis   string
	// Used is the need over what is allowed; above 1 it does not fit.
	Used float64
	// Remedy is what carries it, or would.
	Remedy string
}

// Fits tells whether the need is within what is allowed.
func (l Limit) Fits() bool { return l.Used <= 1 }

func limit(what string, need Estimate, allowed float64, text func(float64) string, remedy string) Limit {
	return Limit{What: what, Need: text(need.Value), Allowed: text(allowed), Basis: need.Basis(), Used: need.Value / allowed, Remedy: remedy}
}

// budget compares what control costs a gateway with the budget of a node.
func (f figures) budget() []Limit {
	target := f.Target
	replicas := float64(target.Replicas)
	perSecond := func(value float64) string { return bytesText(value) + "/s" }
	return []Limit{
		limit("processor: session and changes", f.sessionCores(), target.BudgetCores, coresText, ""),
		limit("processor: load reports", f.measured(PollCores, replicas), target.BudgetCores, coresText, ""),
		limit("processor: together", f.sessionCores().plus(f.measured(PollCores, replicas)), target.BudgetCores, coresText, ""),
		limit("memory: session and table", f.sessionMemory(), target.BudgetBytes, bytesText, ""),
		limit("memory: back ends known", f.each(PollMemory, replicas), target.BudgetBytes, bytesText, ""),
		limit("memory: together", f.sessionMemory().plus(f.each(PollMemory, replicas)), target.BudgetBytes, bytesText, ""),
		limit("traffic: session and changes", f.sessionBytes(), target.BudgetBytesPerSec, perSecond, ""),
		limit("traffic: load reports", f.measured(PollTraffic, replicas), target.BudgetBytesPerSec, perSecond, ""),
		limit("traffic: together", f.sessionBytes().plus(f.measured(PollTraffic, replicas)), target.BudgetBytesPerSec, perSecond, ""),
	}
}

// limits lists what may break at the target, the worst first.
func (f figures) limits() []Limit {
	target := f.Target
	perNode := 1 / float64(f.Claims.Nodes)
	seconds := func(value float64) string { return number(value) + " s" }
	perSecond := func(value float64) string { return bytesText(value) + "/s" }
	log := f.at(ClaimBytes, f.claimRate).times(1 / float64(f.Claims.Nodes-1)) // replicated to each follower
	inForce := f.at(controlbench.InForce, float64(target.Nodes)).times(1e-3)
	list := []Limit{
		limit("gateway: processor time of load reports", f.measured(PollCores, float64(target.Replicas)), target.BudgetCores, coresText,
			"each gateway follows a subset of the back ends and asks for brief reports"),
		limit("gateway: traffic of load reports", f.measured(PollTraffic, float64(target.Replicas)), target.BudgetBytesPerSec, perSecond,
			"each gateway follows a subset of the back ends and asks for brief reports"),
		limit("back end: load reports asked of one replica in a second", Estimate{Value: f.measured(PollCount, float64(target.Replicas)).Value *
			float64(target.Gateways) / float64(target.Replicas), Beyond: f.measured(PollCount, float64(target.Replicas)).Beyond}, backendReports, number,
			"each gateway follows a subset of the back ends and asks for brief reports"),
		limit("coordinator: traffic with the replicas, a wave every "+number(target.WeightMinutes)+" minutes", f.overCycle(WaveTraffic, QuietTraffic), target.BudgetBytesPerSec, perSecond,
			"one coordinator asks the replicas of a pool for all; orders' answers are its reports"),
		limit("coordinator: processor time for the replicas, a wave every "+number(target.WeightMinutes)+" minutes", f.overCycle(WaveCores, QuietCores), target.BudgetCores, coresText,
			"one coordinator asks the replicas of a pool for all; orders' answers are its reports"),
		limit("weight wave: on all replicas", f.measured(WaveTime, float64(target.Replicas)), target.WeightSeconds, seconds,
			"staged beside the running steps, swapped a fifth at a time"),
		limit("control machine: memory of claim keys", f.each(StateMemory(StateClaims), f.keys), target.ControlMachineMemory, bytesText,
			"retention of keys; ledger groups on some of the machines each"),
		limit("control machine: pause of the loop for one ledger group's snapshot", f.each(StateCapture(StateClaims), f.keysPerGroup), target.ElectionSeconds, seconds,
			"captured in the loop, encoded beside it; ledger groups"),
		limit("control machine: snapshot writes, at most", log.times(target.SnapshotCost), target.ControlMachineDisk, perSecond,
			"a large state waits for a quarter of its size in new entries"),
		limit("control machine: writes of claims", f.at(ClaimDisk, f.claimRate).times(perNode), target.ControlMachineDisk, perSecond,
			"ledger groups on some of the machines each"),
		limit("control machine: processor time of claims", f.at(ClaimCores, f.claimRate).times(perNode), target.ControlMachineCores, coresText,
			"ledger groups on some of the machines each"),
		limit("table change: accepted to in force, median", inForce, target.InForceSeconds, seconds, "deltas pushed to all sessions"),
		limit("table change: accepted to in force with a node cut off (bound)", Estimate{Value: f.Sessions.LeaseSeconds * inForceFactor, Origin: "by design"}, target.InForceSeconds, seconds,
			"leases"),
		limit("node: processor time of its session", f.sessionCores(), target.BudgetCores, coresText, "one renewal a second"),
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Used > list[j].Used })
	return list
}

// overCycle is the mean of a quantity of the coordinator that owns a wave over all replicas: one wave and the
// quiet time until the next.
func (f figures) overCycle(inWave, quiet string) Estimate {
	replicas := float64(f.Target.Replicas)
	share := f.measured(WaveTime, replicas).Value / (f.Target.WeightMinutes * 60)
	return f.measured(inWave, replicas).times(share).plus(f.measured(quiet, replicas).times(1 - share))
}

const (
	// inForceFactor is the bound until a change is in force, in leases: see control.Config.LeaseDuration.
	inForceFactor = 1.5
	// backendReports is the number of load reports a second that a replica can be asked to make beside its
	// work: an assumption.
	backendReports = 100
)
