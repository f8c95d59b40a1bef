package explain

import (
	"cmp"
	"slices"
)

// effects maps an event to the event that it causes for the same job.
var effects = map[string]string{"job_ended": "job_closed"}

// orderLines sorts lines in the order in which the events happened. Lines of one process keep their order, and a cause
// comes before its effect. Beyond that the machines' clocks decide, which may differ.
func orderLines(lines []*Line) []*Line {
	slices.SortStableFunc(lines, func(a, b *Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.file, b.file), cmp.Compare(a.position, b.position))
	})
	predecessors := findPredecessors(lines)
	ordered := make([]*Line, 0, len(lines))
	placed := map[*Line]bool{}
	for len(ordered) < len(lines) {
		next := firstReady(lines, predecessors, placed)
		placed[next] = true
		ordered = append(ordered, next)
	}
	return ordered
}

// findPredecessors returns for each line the lines that certainly precede it.
func findPredecessors(lines []*Line) map[*Line][]*Line {
	predecessors := map[*Line][]*Line{}
	for _, line := range lines {
		for _, other := range lines {
			sameProcess := other.file == line.file && other.position < line.position
			isCause := effects[other.Event] == line.Event && other.Value("job") == line.Value("job")
			if sameProcess || isCause {
				predecessors[line] = append(predecessors[line], other)
			}
		}
	}
	return predecessors
}

// firstReady returns the earliest line whose predecessors are all placed, or the earliest line that is not placed if
// the remaining predecessors form a cycle.
func firstReady(lines []*Line, predecessors map[*Line][]*Line, placed map[*Line]bool) *Line {
	var earliest *Line
	for _, line := range lines {
		if placed[line] {
			continue
		}
		if earliest == nil {
			earliest = line
		}
		if !slices.ContainsFunc(predecessors[line], func(other *Line) bool { return !placed[other] }) {
			return line
		}
	}
	return earliest
}
