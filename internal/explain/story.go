package explain

import (
	"slices"
	"time"
)

const (
	// maxLead and maxLag bound how much earlier and later than the id's own lines the state of a process may have changed
	// for the change to be included. They allow for differences between machines' clocks of that size.
	maxLead = 5 * time.Second
	maxLag  = time.Second
)

// Events by the kind of state that they show.
var (
	// processStateEvents show the state of the process that logged them.
	processStateEvents = []string{"lease_lost", "lease_regained", "control_lost", "control_found", "table_adopted", "process_started",
		"process_serving", "process_stopping", "process_stopped", "settings_reloaded", "lines_left_out", "runner_began", "runner_ended",
		"leader_changed", "disk_changed"}
	// replicaStateEvents show what a process knows of a replica.
	replicaStateEvents = []string{"replica_quarantined", "replica_restored", "replica_suspended", "replica_registered", "replicas_silent",
		"order_sent", "order_ended"}
	// runEvents are logged for each run of an item. The story of a job counts them, that of an item contains them.
	runEvents = []string{"run_started", "run_ended", "item_finished", "results_committed", "reward_began", "reward_tried", "reward_ended"}
)

// Story holds what the logs contain about one id.
type Story struct {
	ID    string
	Lines []*Line // in the order in which the events happened
	// Items summarizes the items of a batch job, the last to finish first.
	Items []Item
}

// Item summarizes one item of a batch job.
type Item struct {
	ID       string
	State    string // state of its result; empty if no result was logged
	Finished time.Time
	Runs     int
	Endings  map[string]int // number of ended runs by how they ended
}

// Explain returns the story of an id, which is a caller's attempt id or the id of a batch job or an item. Its Lines are
// empty if no line contains the id.
func (l *Logs) Explain(id string) *Story {
	story := &Story{ID: id}
	own := l.findLines(id)
	if len(own) == 0 {
		return story
	}
	if isJob(own, id) {
		story.Items = summarizeItems(own, id)
		own = slices.DeleteFunc(own, func(line *Line) bool { return slices.Contains(runEvents, line.Event) })
	} else if job := findJob(own); job != "" {
		own = append(own, l.findRewardLines(own)...)
		own = append(own, l.findJobLines(job, own)...)
	}
	story.Lines = orderLines(append(own, l.findStateLines(own)...))
	return story
}

// findLines returns the lines that contain an id, in the order in which they were added.
func (l *Logs) findLines(id string) []*Line {
	var found []*Line
	for _, line := range l.lines {
		if line.hasID(id) {
			found = append(found, line)
		}
	}
	return found
}

// isJob reports whether the id is that of a batch job, by the lines that contain it.
func isJob(lines []*Line, id string) bool {
	return slices.ContainsFunc(lines, func(line *Line) bool { return line.Value("job") == id })
}

// findJob returns the id of the batch job that an item's lines name, or an empty string if they name none.
func findJob(lines []*Line) string {
	for _, line := range lines {
		if job := line.Value("job"); job != "" && line.Value("item") != "" {
			return job
		}
	}
	return ""
}

// findRewardLines returns further lines of the requests of an item's reward calls. These lines contain the id of the call,
// not of the item.
func (l *Logs) findRewardLines(known []*Line) []*Line {
	var found []*Line
	for _, call := range listRewardCalls(known) {
		for _, line := range l.findLines(call) {
			if !slices.Contains(known, line) && !slices.Contains(found, line) {
				found = append(found, line)
			}
		}
	}
	return found
}

// listRewardCalls returns the ids of the reward calls that an item's lines contain.
func listRewardCalls(lines []*Line) []string {
	var calls []string
	for _, line := range lines {
		if call := line.Value("call"); call != "" && !slices.Contains(calls, call) {
			calls = append(calls, call)
		}
	}
	return calls
}

// findJobLines returns further lines of a job, without those of its items.
func (l *Logs) findJobLines(job string, known []*Line) []*Line {
	var found []*Line
	for _, line := range l.findLines(job) {
		if !slices.Contains(runEvents, line.Event) && line.Value("item") == "" && !slices.Contains(known, line) {
			found = append(found, line)
		}
	}
	return found
}

// findStateLines returns lines that show the state of the processes that logged the given lines, and what any process knew
// of the replicas in these lines, at about the same time.
func (l *Logs) findStateLines(lines []*Line) []*Line {
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
		if line.Time.Before(from.Add(-maxLead)) || line.Time.After(to.Add(maxLag)) || slices.Contains(lines, line) {
			continue
		}
		isProcessState := nodes[line.Node] && slices.Contains(processStateEvents, line.Event)
		isReplicaState := slices.Contains(replicaStateEvents, line.Event) && l.hasAnyID(line, replicas)
		if isProcessState || isReplicaState {
			found = append(found, line)
		}
	}
	return found
}

// hasAnyID reports whether a line contains the id of one of the replicas.
func (l *Logs) hasAnyID(line *Line, replicas map[string]bool) bool {
	for replica := range replicas {
		if line.hasID(replica) {
			return true
		}
	}
	return false
}

// summarizeItems summarizes the items that a job's lines contain, the last to finish first.
func summarizeItems(lines []*Line, job string) []Item {
	found := map[string]*Item{}
	var ids []string
	for _, line := range lines {
		id := line.Value("item")
		if id == "" || line.Value("job") != job {
			continue
		}
		item := found[id]
		if item == nil {
			item = &Item{ID: id, Endings: map[string]int{}}
			found[id] = item
			ids = append(ids, id)
		}
		item.update(line)
	}
	summaries := make([]Item, 0, len(ids))
	for _, id := range ids {
		summaries = append(summaries, *found[id])
	}
	slices.SortStableFunc(summaries, func(a, b Item) int { return b.finishTime().Compare(a.finishTime()) })
	return summaries
}

// finishTime returns the time at which the item was finished. An unfinished item gets a time after all others, so that it
// sorts first.
func (i *Item) finishTime() time.Time {
	if i.State == "" {
		return time.Unix(1<<40, 0)
	}
	return i.Finished
}

// update adds a line of the item to its summary.
func (i *Item) update(line *Line) {
	switch line.Event {
	case "run_started":
		i.Runs++
	case "run_ended":
		i.Endings[line.Value("ending")]++
	case "item_finished":
		i.State, i.Finished = line.Value("state"), line.Time
	}
}
