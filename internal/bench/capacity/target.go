package capacity

import (
	"github.com/tamarindring/tamarindring/internal/claim"
	"github.com/tamarindring/tamarindring/internal/consensus"
)

// Target is the size that the system is built towards: the users' letter of the page's first sitting.
type Target struct {
	Nodes              int     `json:"nodes"` // of ours, before the replicas, control not included
	Replicas           int     `json:"replicas"`
	Accelerators       int     `json:"accelerators"`
	RequestsPerSecond  float64 `json:"requests_per_second"`
	TokensPerSecond    float64 `json:"tokens_per_second"`
	Regions            int     `json:"regions"`
	Zones              int     `json:"zones"`
	Trainers           int     `json:"trainers"`
	SamplesPerStep     int     `json:"samples_per_step"` // of one trainer
	StepMinutes        float64 `json:"step_minutes"`
	WeightMinutes      float64 `json:"weight_minutes"`
	WeightSeconds      float64 `json:"weight_seconds"`
	ChangesPerDay      float64 `json:"changes_per_day"`
	InForceSeconds     float64 `json:"in_force_seconds"`
	ControlMachines    int     `json:"control_machines"`
	FailuresPerDay     float64 `json:"machine_failures_per_day"`
	RestartsPerDay     float64 `json:"restarts_per_day"`
	BudgetCores        float64 `json:"budget_cores"`
	BudgetBytes        float64 `json:"budget_bytes"`
	BudgetBytesPerSec  float64 `json:"budget_bytes_per_second"`
	ClaimKeyHours      float64 `json:"claim_key_hours"`      // retention of keys: claim.DefaultKeys and DefaultAttempts
	ClaimAnswerMinutes float64 `json:"claim_answer_minutes"` // retention of answers, claim.DefaultAnswers
	SnapshotCost       float64 `json:"snapshot_cost"`        // bytes of snapshots for each byte applied, consensus.DefaultSnapshotCost
	ElectionSeconds    float64 `json:"election_seconds"`     // shortest silence of a leader that starts an election

	// Assumptions of ours: the letter does not say.
	LedgerGroups         int     `json:"assumed_ledger_groups"` // a setting of control
	Gateways             int     `json:"assumed_gateways"`
	Coordinators         int     `json:"assumed_coordinators"`
	NonRepeatable        float64 `json:"assumed_non_repeatable_share"` // of the requests
	TokenStepSeconds     float64 `json:"assumed_token_step_seconds"`   // time between two tokens of a stream
	ControlMachineCores  float64 `json:"assumed_control_machine_cores"`
	ControlMachineMemory float64 `json:"assumed_control_machine_bytes"`
	ControlMachineDisk   float64 `json:"assumed_control_machine_disk_bytes_per_second"`
}

// DefaultTarget is the users' target, with the retention of claims that runs today.
func DefaultTarget() Target {
	return Target{Nodes: 340, Replicas: 600, Accelerators: 2400, RequestsPerSecond: 2100, TokensPerSecond: 1e6, Regions: 2, Zones: 7,
		Trainers: 4, SamplesPerStep: 2048, StepMinutes: 28, WeightMinutes: 2, WeightSeconds: 10, ChangesPerDay: 370, InForceSeconds: 10,
		ControlMachines: 9, FailuresPerDay: 7, RestartsPerDay: 190, BudgetCores: 0.049, BudgetBytes: 32e6, BudgetBytesPerSec: 21e3,
		ClaimKeyHours: (claim.DefaultKeys + claim.DefaultAttempts).Hours(), ClaimAnswerMinutes: claim.DefaultAnswers.Minutes(),
		SnapshotCost: consensus.DefaultSnapshotCost, LedgerGroups: ledgerGroups,
		ElectionSeconds: consensus.DefaultElectionTicks * consensus.DefaultTick.Seconds(),
		Gateways:        336, Coordinators: 4, NonRepeatable: 1, TokenStepSeconds: 0.025,
		ControlMachineCores: 4, ControlMachineMemory: 16e9, ControlMachineDisk: 100e6}
}
