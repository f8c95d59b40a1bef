package explain

import (
	"cmp"
	"slices"
)

// causes are pairs of events of which, for one job, the first is the reason for the second.
var causes = map[string]string{"job_ended": "job_closed"}

// order puts lines in the order of what happened. Lines of one process keep their order; a cause comes before what it
// brought; beyond that the machines' clocks decide, which may differ.
func order(lines []*Line) []*Line {
	slices.SortStableFunc(lines, func(a, b *Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.file, b.file), cmp.Compare(a.position, b.position))
	})
	waiting := dependencies(lines)
	ordered := make([]*Line, 0, len(lines))
	done := map[*Line]bool{}
	for len(ordered) < len(lines) {
		next := firstReady(lines, waiting, done)
		done[next] = true
		ordered = append(ordered, next)
	}
	return ordered
}

// dependencies returns for each line those that come before it for certain.
func dependencies(lines []*Line) map[*Line][]*Line {
	waiting := map[*Line][]*Line{}
	for _, line := range lines {
		for _, other := range lines {
			sameProcess := other.file == line.file && other.position < line.position
			cause := causes[other.Event] == line.Event && other.Value("job") == line.Value("job")
			if sameProcess || cause {
				waiting[line] = append(waiting[line], other)
			}
		}
	}
	return waiting
}

// firstReady returns the earliest line whose dependencies are done; where they go round in a circle, the earliest.
func firstReady(lines []*Line, waiting map[*Line][]*Line, done map[*Line]bool) *Line {
	var earliest *Line
	for _, line := range lines {
		if done[line] {
			continue
		}
		if earliest == nil {
			earliest = line
		}
		if !slices.ContainsFunc(waiting[line], func(other *Line) bool { return !done[other] }) {
			return line
		}
	}
	return earliest
}
