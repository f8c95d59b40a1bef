package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	"github.com/tamarindring/tamarindring/internal/workload/caller"
)

const bytesPerMiB = 1 << 20

// Report is the result of a run. Write stores it as report.json.
type Report struct {
	Deployment string               `json:"deployment"`
	Seed       int64                `json:"seed"`
	Faults     bool                 `json:"faults"`
	Seconds    float64              `json:"seconds"` // during which callers sent requests
	Violations uint64               `json:"violations"`
	Unexamined []invariant.Name     `json:"unexamined,omitempty"` // invariants that examined nothing
	Invariants []invariant.Result   `json:"invariants"`
	Live       caller.ServiceReport `json:"live"`
	Operations caller.ServiceReport `json:"operations"`
	Rollout    RolloutReport        `json:"rollout"`
	Trainers   []TrainerReport      `json:"trainers"`
	Control    []NodeReport         `json:"control"`
	Table      TableReport          `json:"table"`
	Process    ProcessReport        `json:"process"`
	Callers    caller.Stats         `json:"callers"`
	Events     []Event              `json:"events"`
}

// RolloutReport counts the samples that trainers received.
type RolloutReport struct {
	Samples         int     `json:"samples"`
	Tokens          int     `json:"tokens"`
	DiscardedTokens uint64  `json:"discarded_tokens"` // generated and not delivered
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// TrainerReport contains the measurements of a trainer.
type TrainerReport struct {
	Name      string    `json:"name"`
	Steps     uint64    `json:"steps"`
	IdleShare float64   `json:"idle_share"` // share of its wall time spent waiting for samples
	Staleness Staleness `json:"staleness"`
	Errors    int       `json:"errors"` // calls to coordinators that were retried
}

// Staleness is the age of samples at receipt, in weight versions.
type Staleness struct {
	Mean float64 `json:"mean"`
	P99  int     `json:"p99"`
	Max  int     `json:"max"`
}

// NodeReport contains the cost of a control node.
type NodeReport struct {
	Name     string  `json:"name"`
	CPUShare float64 `json:"cpu_share"` // of one core
	// ResidentMiB is the resident memory of the whole process, because parts of one process cannot be told apart.
	ResidentMiB float64 `json:"rss_mb"`
	// ResidentScope names what ResidentMiB covers.
	ResidentScope string  `json:"rss_scope"`
	KBPerSecond   float64 `json:"kb_per_second"` // through its listener, both directions
}

// TableReport counts the operators' changes.
type TableReport struct {
	Accepted   int     `json:"accepted"`
	Conflicts  int     `json:"conflicts"` // rejected because another operator had changed the cell
	Unknown    int     `json:"unknown"`   // without an answer
	InForceP50 float64 `json:"in_force_p50_ms"`
	InForceMax float64 `json:"in_force_max_ms"`
}

// ProcessReport contains the cost of the whole process.
type ProcessReport struct {
	Cores       float64              `json:"cores"`
	ResidentMiB float64              `json:"rss_mb"`
	Roles       []rolecost.RoleShare `json:"roles"`
}

// Passed reports whether no invariant was violated and every invariant examined something.
func (r *Report) Passed() bool { return r.Violations == 0 && len(r.Unexamined) == 0 }

// Write stores the report as report.json in folder and creates the folder if necessary. It returns errors of the file
// system.
func (r *Report) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(folder, "report.json"), append(content, '\n'), 0o644))
}

// report builds the report after all invariants have been examined.
func (f *fleet) report(calls caller.Stats, cost rolecost.Cost, resident uint64) *Report {
	summary := f.registry.Summary()
	made := &Report{Deployment: f.config.Deployment.Name, Seed: f.config.Seed, Faults: f.config.Faults, Seconds: calls.Seconds,
		Violations: summary.Violations, Unexamined: summary.Unexamined, Invariants: f.registry.Results(),
		Live: caller.NewReport(calls).Live, Operations: caller.NewReport(calls).Operations,
		Table: f.evidence.table.report(), Callers: calls, Events: f.events.list(),
		Process: ProcessReport{Cores: cost.TotalCores, ResidentMiB: float64(resident) / bytesPerMiB, Roles: cost.Roles}}
	for _, node := range f.control {
		made.Control = append(made.Control, NodeReport{Name: node.name, CPUShare: cost.Cores(node.name),
			ResidentMiB: float64(resident) / bytesPerMiB, ResidentScope: "whole process",
			KBPerSecond: float64(node.bytes()) / 1000 / cost.Wall.Seconds()})
	}
	made.Trainers = []TrainerReport{}
	for _, one := range f.rollouts.trainers {
		stats := one.Stats()
		made.Rollout.Samples += stats.Samples
		made.Rollout.Tokens += stats.Tokens
		made.Rollout.TokensPerSecond += float64(stats.Tokens) / max(stats.Wall.Seconds(), 1)
		made.Trainers = append(made.Trainers, TrainerReport{Name: stats.Name, Steps: stats.Steps, IdleShare: stats.IdleShare, Errors: stats.Errors,
			Staleness: Staleness{Mean: stats.StalenessMean, P99: stats.StalenessP99, Max: stats.StalenessMax}})
	}
	made.Rollout.DiscardedTokens = f.rollouts.discarded()
	return made
}
