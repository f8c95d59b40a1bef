package poison

import (
	"slices"
	"strings"

	"github.com/tamarindring/tamarindring/internal/table"
)

// The marks of entries in the table's list. An entry without one is a back end that crashed.
const (
	trialMark = "trial:" // a back end that crashed under a trial
	claimMark = "claim:" // a claimed run that has not ended yet
)

// OperatorTrial stands in the list for an operator who condemns a request, as if a trial had crashed a back end.
const OperatorTrial = "operator"

// entries holds the entries of a table's list by kind.
type entries struct {
	crashed []string // back ends that crashed
	trials  []string // those of crashed that ran the request as a trial
	claims  []string // claimed runs that have not ended
}

// parseEntries sorts the entries of a table's list by kind. Builds that know no claims there take them for back ends.
func parseEntries(list []string) (parsed entries) {
	for _, entry := range list {
		if claim, is := strings.CutPrefix(entry, claimMark); is {
			parsed.claims = append(parsed.claims, claim)
			continue
		}
		instance, trial := strings.CutPrefix(entry, trialMark)
		parsed.crashed = append(parsed.crashed, instance)
		if trial {
			parsed.trials = append(parsed.trials, instance)
		}
	}
	return parsed
}

// CrashedBackEnds returns a list of the table without the claimed runs.
func CrashedBackEnds(list string) string {
	return strings.Join(withoutMarked(splitList(list), claimMark), ",")
}

// withoutMarked returns the entries of a list without those that have a mark.
func withoutMarked(list []string, mark string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(entry string) bool { return strings.HasPrefix(entry, mark) })
}

// AddTrial returns the table's list of the back ends that crashed with one more that crashed under a trial.
func AddTrial(list, instance string) string {
	return formatCrashed(append(splitList(list), trialMark+instance))
}

// HasTrial reports whether a list of the table contains a back end that crashed under a trial.
func HasTrial(list string) bool {
	return len(parseEntries(splitList(list)).trials) > 0
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
