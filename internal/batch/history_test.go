package batch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	historyRetention = 20
	historySteps     = 80
	mutationSeeds    = 300 // number of histories within which each mutation must be detected
)

// expectedJob is the state of a job as callers know it from the replies.
type expectedJob struct {
	variant int
	sent    int64 // time of the submit
	ended   bool
	results []*wire.JobResult
}

// run is the run of an item by one leader. The texts of runs differ, but not their lengths and event ids.
type run struct {
	text      []byte
	committed int // bytes of text
}

// history applies commands to a store and compares the store with the replies to its callers. Runs commit their texts
// in parts, which may arrive late, as those of a leader that has been replaced.
type history struct {
	store   *Store
	now     int64
	counted int64 // time up to which Expire has counted
	jobs    map[string]*expectedJob
	runs    map[string]*run            // by concatenated job, item and leader
	texts   map[string]bool            // concatenated job, item and each text that one of its runs had
	late    []*wire.JobStore           // commands that may be applied again or late
	whole   map[string]*wire.JobResult // by job: the text of the first item that waits for its score
	letters int                        // written so far
}

func newHistory(unsafe Unsafe) *history {
	return &history{store: NewUnsafe(unsafe), now: 1000, counted: 1000, jobs: map[string]*expectedJob{}, runs: map[string]*run{}, texts: map[string]bool{}, whole: map[string]*wire.JobResult{}}
}

func variantOf(id string, variant int) *wire.JobSubmit {
	submit := rewarded(id) // the first item needs a score
	submit.Model = fmt.Sprint("m", variant)
	submit.Digest = Digest(submit)
	return submit
}

// step applies one random command and checks its reply.
func (h *history) step(t *rapid.T) error {
	h.now += rapid.Int64Range(0, 3).Draw(t, "passes")
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
	item := fmt.Sprint("i", rapid.IntRange(0, 1).Draw(t, "item"))
	switch rapid.IntRange(0, 13).Draw(t, "command") {
	case 0, 1:
		return h.submit(id, rapid.IntRange(0, 3).Draw(t, "variant")/3)
	case 2:
		return h.finish(id, item)
	case 10:
		return h.awaitScore(id)
	case 11:
		return h.score(id)
	case 12, 13:
		return h.finishRun(id, item, rapid.IntRange(0, 1).Draw(t, "leader"))
	case 3:
		return h.end(id)
	case 4:
		return h.expire(rapid.Bool().Draw(t, "new leader"))
	case 5:
		return h.restore(t)
	case 6:
		if len(h.late) == 0 {
			return nil
		}
		_, err := h.store.Store(rapid.SampledFrom(h.late).Draw(t, "late"))
		return err
	}
	return h.progress(t, id, item)
}

// submit submits a variant of a job and checks the outcome.
func (h *history) submit(id string, variant int) error {
	submit := variantOf(id, variant)
	submit.SentUnixMillis = h.now
	reply, err := h.store.Submit(submit)
	want := wire.JobOutcome_JOB_OUTCOME_ACCEPTED
	switch known := h.jobs[id]; {
	case known == nil:
		h.jobs[id] = &expectedJob{variant: variant, sent: h.now}
	case known.variant != variant:
		want = wire.JobOutcome_JOB_OUTCOME_OTHER_CONTENT
	}
	if err == nil && reply.GetOutcome() != want {
		return trace.Errorf("submit of %s: %v, want %v", id, reply.GetOutcome(), want)
	}
	return err
}

// finish commits the result of an item without a score. For the first item, which needs one, the store must reject it.
func (h *history) finish(id, item string) error {
	result := completed(item, fmt.Sprint(h.now))
	known := h.jobs[id]
	_, err := h.store.Store(stored(id, result))
	if item == "i0" && known != nil && !known.ended {
		if err == nil {
			return trace.Errorf("item %s of %s was listed without its score", item, id)
		}
		return nil
	}
	if known != nil && !known.ended && !known.lists(item) {
		known.results = append(known.results, result)
	}
	return err
}

// finishRun commits the end of a run of which a part is committed. It must be accepted only if the stored text is that
// of the same run.
func (h *history) finishRun(id, item string, leader int) error {
	running := h.runs[fmt.Sprint(id, item, leader)]
	if running == nil || running.committed == 0 {
		return nil
	}
	text := append(slices.Clone(running.text), fmt.Sprint("\nend at ", h.now)...)
	result := CompletedAfter(item, text, running.committed, []uint64{3})
	known := h.jobs[id]
	open := known != nil && !known.ended && !known.lists(item)
	waits := item == "i0"
	matches := open && string(h.partials(id)[item]) == string(running.text[:running.committed])
	command := stored(id, result)
	if waits {
		command = unscored(id, result)
	}
	reply, err := h.store.Store(command)
	if err != nil {
		return err
	}
	wanted := open && !(waits && h.whole[id] != nil)
	if unmatched := len(reply.GetUnmatched()) > 0; wanted && unmatched == matches {
		return trace.Errorf("end of a run of item %s of %s: accepted %v, the text before it is stored %v", item, id, !unmatched, matches)
	}
	if !wanted || !matches {
		return nil
	}
	if waits {
		h.whole[id] = &wire.JobResult{Item: item, State: result.GetState(), Text: text, Versions: result.GetVersions()}
	} else {
		known.results = append(known.results, &wire.JobResult{Item: item, State: result.GetState(), Text: text, Versions: result.GetVersions()})
	}
	return nil
}

// read returns a copy of a result with its decompressed text in one piece.
func read(result *wire.JobResult) (*wire.JobResult, error) {
	text, err := Text(result)
	if err != nil {
		return nil, err
	}
	whole := proto.Clone(result).(*wire.JobResult)
	whole.Text, whole.DeflatedFrom, whole.Pieces = text, 0, nil
	return whole, nil
}

func (e *expectedJob) lists(item string) bool {
	return slices.ContainsFunc(e.results, func(listed *wire.JobResult) bool { return listed.GetItem() == item })
}

// awaitScore commits the whole text of the first item without a score.
func (h *history) awaitScore(id string) error {
	text := completed("i0", fmt.Sprint("whole at ", h.now))
	if known := h.jobs[id]; known != nil && !known.ended && !known.lists("i0") && h.whole[id] == nil {
		h.whole[id] = text
	}
	_, err := h.store.Store(unscored(id, text))
	return err
}

// score commits a score of the first item, which lists the text that waits for it.
func (h *history) score(id string) error {
	score := fmt.Sprint("score at ", h.now)
	if known := h.jobs[id]; known != nil && !known.ended && h.whole[id] != nil {
		result := proto.Clone(h.whole[id]).(*wire.JobResult)
		result.Score = score
		known.results = append(known.results, result)
		delete(h.whole, id)
	}
	_, err := h.store.Store(scored(id, "i0", score))
	return err
}

func (h *history) end(id string) error {
	if known := h.jobs[id]; known != nil {
		known.ended = true
		delete(h.whole, id)
	}
	_, err := h.store.End(&wire.JobEnd{Job: id})
	return err
}

// expire counts the time since the last count. A new leader does not count time that passed before its term.
func (h *history) expire(newLeader bool) error {
	if newLeader {
		h.counted = h.now
	}
	if h.now == h.counted {
		return nil
	}
	_, err := h.store.Expire(&wire.JobExpire{ElapsedMillis: uint64(h.now - h.counted), RetentionMillis: historyRetention})
	h.counted = h.now
	return err
}

// restore replaces the store with one restored from its snapshot.
func (h *history) restore(t *rapid.T) error {
	restored := NewUnsafe(h.store.unsafe)
	if err := restored.Restore(mustSnapshot(t, h.store)); err != nil {
		return err
	}
	if !proto.Equal(mustSnapshot(t, restored), mustSnapshot(t, h.store)) || restored.heldBytes != h.store.heldBytes {
		return trace.Errorf("the restored store differs from the original")
	}
	h.store = restored
	return nil
}

// progress starts a run of an item, continues from the stored text, or commits one more event.
func (h *history) progress(t *rapid.T, id, item string) error {
	key := fmt.Sprint(id, item, rapid.IntRange(0, 1).Draw(t, "leader"))
	running := h.runs[key]
	if next := rapid.IntRange(0, 7).Draw(t, "progress"); running == nil || next == 0 {
		running = &run{}
		h.runs[key] = running
	} else if held := h.partials(id)[item]; next == 1 && held != nil {
		running.text, running.committed = slices.Clone(held), len(held)
	}
	if len(running.text) > 0 {
		running.text = append(running.text, '\n')
	}
	running.text = append(running.text, byte('a'+h.letters%26))
	h.letters++
	h.texts[id+item+string(running.text)] = true
	command := storedPartial(id, partial(item, string(running.text[:running.committed]), string(running.text[running.committed:])))
	running.committed = len(running.text)
	h.late = append(h.late, command)
	if rapid.Bool().Draw(t, "delayed") {
		return nil
	}
	_, err := h.store.Store(command)
	return err
}

// partials returns the stored partial texts of a job by item.
func (h *history) partials(id string) map[string][]byte {
	texts := map[string][]byte{}
	for _, work := range h.store.Work(&wire.JobWorkQuery{}).GetJobs() {
		for _, held := range work.GetPartials() {
			if work.GetJob().GetId() == id {
				text, err := PartialText(held)
				if err != nil {
					panic(err) // the text was compressed by this test
				}
				texts[held.GetItem()] = text
			}
		}
	}
	return texts
}

// check compares all jobs of the store with what their callers know.
func (h *history) check() error {
	for id, known := range h.jobs {
		view, err := h.store.Results(&wire.JobResultsQuery{Job: id}).Now()
		if err != nil {
			return err
		}
		if !view.GetKnown() && known.ended && h.now-known.sent > historyRetention {
			delete(h.jobs, id)
			continue
		}
		if !view.GetKnown() || view.GetEnded() != known.ended || len(view.GetResults()) != len(known.results) {
			return trace.Errorf("job %s: %v, want %+v", id, view, known)
		}
		for position, result := range view.GetResults() {
			result, err := read(result)
			if err != nil {
				return err
			}
			if !proto.Equal(result, known.results[position]) {
				return trace.Errorf("position %d of %s holds %v, want %v", position, id, result, known.results[position])
			}
		}
		for item, text := range h.partials(id) {
			if !h.texts[id+item+string(text)] {
				return trace.Errorf("item %s of %s has text %q, which no run had", item, id, text)
			}
		}
	}
	if h.store.Len() != len(h.jobs) {
		return trace.Errorf("%d jobs are stored, want %d", h.store.Len(), len(h.jobs))
	}
	return nil
}

// playCommands applies a random history to a store and returns the first violation.
func playCommands(t *rapid.T, unsafe Unsafe) error {
	played := newHistory(unsafe)
	for range rapid.IntRange(1, historySteps).Draw(t, "steps") {
		if err := played.step(t); err != nil {
			return err
		}
		if err := played.check(); err != nil {
			return err
		}
	}
	return nil
}

// TestStoreMatchesItsReplies: after any history of commands, the store must contain exactly what its replies promised.
func TestStoreMatchesItsReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := playCommands(t, Unsafe{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestStoreMutationsAreDetected disables each safety step in turn: some history must show the fault. It guards against
// a check that no longer detects anything.
func TestStoreMutationsAreDetected(t *testing.T) {
	for _, unsafe := range []Unsafe{{TakeTwice: true}, {ForgetDigest: true}, {ListTwice: true}, {ListAfterEnd: true},
		{JoinRuns: true}, {ListUnscored: true}, {ReplaceText: true}, {ExpireOpen: true}, {CountEarly: true}} {
		histories := rapid.Custom(func(t *rapid.T) error { return playCommands(t, unsafe) })
		seed := 0
		for seed < mutationSeeds && histories.Example(seed) == nil {
			seed++
		}
		if seed == mutationSeeds {
			t.Errorf("mutation %+v was not detected in %d histories", unsafe, mutationSeeds)
			continue
		}
		t.Logf("%+v: seed %d: %v", unsafe, seed, histories.Example(seed))
	}
}
