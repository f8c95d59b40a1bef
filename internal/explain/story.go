package explain

import (
	"slices"
	"time"
)

const (
	// before and after bound how much earlier and later than the id's own lines a belief may have changed to be
	// told with them. Machines' clocks may differ by that much.
	before = 5 * time.Second
	after  = time.Second
)

// Events that tell what a process, or a process about a replica, believes.
var (
	processBeliefs = []string{"lease_lost", "lease_regained", "control_lost", "control_found", "table_adopted", "process_started",
		"process_serving", "process_stopping", "process_stopped", "settings_reloaded", "lines_left_out", "runner_began", "runner_ended",
		"leader_changed", "disk_changed"}
	replicaBeliefs = []string{"replica_quarantined", "replica_restored", "replica_suspended", "replica_registered", "replicas_silent",
		"order_sent", "order_ended"}
	// runEvents come for each run of an item: a job's story counts them, an item's tells them.
	runEvents = []string{"run_started", "run_ended", "item_finished", "results_committed", "reward_began", "reward_tried", "reward_ended"}
)

// Story is what the logs say of one id.
type Story struct {
	ID    string
	Lines []*Line // in order of what happened
	// Items sums up the items of a batch job, the slowest first.
	Items []Item
}

// Item is one item of a batch job in short.
type Item struct {
	ID       string
	State    string // of its result; empty: none was logged
	Finished time.Time
	Runs     int
	Endings  map[string]int // of its runs
}

// Tell returns the story of an id: a caller's attempt id, a batch job's or an item's. Its Lines are empty when no line
// names it.
func (l *Logs) Tell(id string) *Story {
	story := &Story{ID: id}
	own := l.naming(id)
	if len(own) == 0 {
		return story
	}
	if isJob(own, id) {
		story.Items = items(own, id)
		own = slices.DeleteFunc(own, func(line *Line) bool { return slices.Contains(runEvents, line.Event) })
	} else if job := jobOf(own); job != "" {
		own = append(own, l.rewardLines(own)...)
		own = append(own, l.jobLines(job, own)...)
	}
	story.Lines = order(append(own, l.beliefs(own)...))
	return story
}

func (l *Logs) naming(id string) []*Line {
	var found []*Line
	for _, line := range l.lines {
		if line.names(id) {
			found = append(found, line)
		}
	}
	return found
}

func isJob(lines []*Line, id string) bool {
	return slices.ContainsFunc(lines, func(line *Line) bool { return line.Value("job") == id })
}

// jobOf is the job of an item's lines.
func jobOf(lines []*Line) string {
	for _, line := range lines {
		if job := line.Value("job"); job != "" && line.Value("item") != "" {
			return job
		}
	}
	return ""
}

// rewardLines returns what the requests of an item's reward calls left, which name the calls' ids.
func (l *Logs) rewardLines(known []*Line) []*Line {
	var found []*Line
	for _, call := range rewardCalls(known) {
		for _, line := range l.naming(call) {
			if !slices.Contains(known, line) && !slices.Contains(found, line) {
				found = append(found, line)
			}
		}
	}
	return found
}

// rewardCalls are the ids of the reward calls that an item's lines name.
func rewardCalls(lines []*Line) []string {
	var calls []string
	for _, line := range lines {
		if call := line.Value("call"); call != "" && !slices.Contains(calls, call) {
			calls = append(calls, call)
		}
	}
	return calls
}

// jobLines returns a job's own lines, without those of its items.
func (l *Logs) jobLines(job string, known []*Line) []*Line {
	var found []*Line
	for _, line := range l.naming(job) {
		if !slices.Contains(runEvents, line.Event) && line.Value("item") == "" && !slices.Contains(known, line) {
			found = append(found, line)
		}
	}
	return found
}

// beliefs returns what the processes of some lines believed at their time, of themselves and of the replicas that the
// lines name.
func (l *Logs) beliefs(lines []*Line) []*Line {
	nodes, replicas := map[string]bool{}, map[string]bool{}
	from, to := lines[0].Time, lines[0].Time
	for _, line := range lines {
		nodes[line.Node] = true
		for _, name := range []string{"replica", "first", "second"} {
			if replica := line.Value(name); replica != "" {
				replicas[replica] = true
			}
		}
		if line.Time.Before(from) {
			from = line.Time
		}
		if line.Time.After(to) {
			to = line.Time
		}
	}
	var found []*Line
	for _, line := range l.lines {
		if line.Time.Before(from.Add(-before)) || line.Time.After(to.Add(after)) || slices.Contains(lines, line) {
			continue
		}
		ofProcess := nodes[line.Node] && slices.Contains(processBeliefs, line.Event)
		ofReplica := slices.Contains(replicaBeliefs, line.Event) && l.aboutOne(line, replicas)
		if ofProcess || ofReplica {
			found = append(found, line)
		}
	}
	return found
}

func (l *Logs) aboutOne(line *Line, replicas map[string]bool) bool {
	for replica := range replicas {
		if line.names(replica) {
			return true
		}
	}
	return false
}

// items sums up the items that a job's lines name.
func items(lines []*Line, job string) []Item {
	found := map[string]*Item{}
	var ids []string
	for _, line := range lines {
		id := line.Value("item")
		if id == "" || line.Value("job") != job {
			continue
		}
		held := found[id]
		if held == nil {
			held = &Item{ID: id, Endings: map[string]int{}}
			found[id] = held
			ids = append(ids, id)
		}
		held.note(line)
	}
	sums := make([]Item, 0, len(ids))
	for _, id := range ids {
		sums = append(sums, *found[id])
	}
	slices.SortStableFunc(sums, func(a, b Item) int { return b.end().Compare(a.end()) })
	return sums
}

// end is when the item was finished; one that was not comes after all others.
func (i *Item) end() time.Time {
	if i.State == "" {
		return time.Unix(1<<40, 0)
	}
	return i.Finished
}

func (i *Item) note(line *Line) {
	switch line.Event {
	case "run_started":
		i.Runs++
	case "run_ended":
		i.Endings[line.Value("ending")]++
	case "item_finished":
		i.State, i.Finished = line.Value("state"), line.Time
	}
}
