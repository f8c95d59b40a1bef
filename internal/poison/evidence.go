package poison

import (
	"slices"
	"strings"

	"github.com/tamarindring/tamarindring/internal/table"
)

// trialMark precedes a back end in the table's list of those that crashed if the run was a trial.
const trialMark = "trial:"

// OperatorTrial stands in the list for an operator who condemns a request, as if a trial had crashed a back end.
const OperatorTrial = "operator"

// splitCrashed returns the back ends in a list of the table, and those of them that crashed under trials.
func splitCrashed(list []string) (crashed, trials []string) {
	for _, entry := range list {
		instance, trial := strings.CutPrefix(entry, trialMark)
		crashed = append(crashed, instance)
		if trial {
			trials = append(trials, instance)
		}
	}
	return crashed, trials
}

// AddTrial returns the table's list of the back ends that crashed with one more that crashed under a trial.
func AddTrial(list, instance string) string {
	return formatCrashed(append(splitList(list), trialMark+instance))
}

// HasTrial reports whether a list of the table contains a back end that crashed under a trial.
func HasTrial(list string) bool {
	_, trials := splitCrashed(splitList(list))
	return len(trials) > 0
}

// provenCrashes returns how many of a suspect's crashes show that it is the cause. A crash that many requests share says
// nothing about a single one. A crash under a trial does, since a trial runs apart from other suspects as far as this
// process knows. The first trial crash that another serious suspect shares is left out, because two processes may have
// tried their suspects at one back end.
func provenCrashes(record Record, records []Record) uint32 {
	proven, shared := uint32(0), uint32(0)
	for _, instance := range record.Trials {
		if isShared(instance, record.Digest, records) {
			shared++
			continue
		}
		proven++
	}
	return proven + max(shared, 1) - 1
}

// isShared reports whether a back end crashed under a run of another suspect that is restricted to trials too.
func isShared(instance string, digest Digest, records []Record) bool {
	return slices.ContainsFunc(records, func(other Record) bool {
		return other.Digest != digest && other.Crashes >= TrialCrashes && slices.Contains(other.Crashed, instance)
	})
}

// splitList returns the entries of a list in the table.
func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func listOf(row *table.Row) []string {
	if row == nil {
		return nil
	}
	return splitList(row.CrashedBackEnds)
}
