package batchrun

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// A replica's load report must reach the scheduler with the head of an answer, before the answer ends, and with a
// rejection. A report without a pace must change nothing.
func TestLoadReportsReachTheScheduler(t *testing.T) {
	r := newRig(t)
	runner, err := New(Config{Group: r.group, Session: r.session, Caller: r.replicas, Route: r.route, Log: r.log()})
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		report *loadreport.Report
		used   bool // by the scheduler
	}{
		"four figures":  {&loadreport.Report{Running: 3, Slots: 8, Pace: 2.5}, true},
		"three figures": {&loadreport.Report{Running: 3, Slots: 8}, false},
		"none":          {nil, false},
	} {
		for _, refused := range []bool{false, true} {
			work := newTermRunner(runner, 1)
			work.scheduler.Replicas([]schedule.Replica{{Instance: "r1", Pool: "p", Slots: 8}})
			running := &call{Start: schedule.Start{Instance: "r1"}, stream: &stream{clock: runner.config.Clock, text: newText()}}
			if refused {
				running.stream.storeLoadReport(test.report, loadreport.FromRefusal)
			} else if err := running.stream.Head(replica.Head{Status: 200, Stream: true, Load: test.report}); err != nil {
				t.Fatal(err)
			}
			work.reportProgress(running)
			if got := work.scheduler.Fleet().SlowdownRemaining > time.Duration(0); got != test.used {
				t.Errorf("%s, rejected %v: report in use %v, want the opposite", name, refused, got)
			}
		}
	}
}

// The expected answer length is the item's estimate, or its token limit without one. The prompt length is read from the
// usage header.
func TestItemLengthsAreReadFromHeaders(t *testing.T) {
	r := newRig(t)
	runner, err := New(Config{Group: r.group, Session: r.session, Caller: r.replicas, Route: r.route, Log: r.log(),
		LengthHeader: "Estimate", UsageHeader: "Usage"})
	if err != nil {
		t.Fatal(err)
	}
	work := newTermRunner(runner, 1)
	entry := testItem("a", map[string]string{"estimate": "70", "Usage": "40,200"}, 240)
	if length, estimated := work.expectedLength(entry); length != 70 || !estimated || work.promptTokens(entry) != 40 {
		t.Errorf("%d (%v), prompt %d", length, estimated, work.promptTokens(entry))
	}
	entry = testItem("a", map[string]string{"Usage": "many,200"}, 240)
	if length, estimated := work.expectedLength(entry); length != 240 || estimated || work.promptTokens(entry) != 0 {
		t.Errorf("%d (%v), prompt %d", length, estimated, work.promptTokens(entry))
	}
}

func testItem(id string, headers map[string]string, tokens uint64) *wire.JobItem {
	entry := &wire.JobItem{Id: id, Tokens: tokens}
	for name, value := range headers {
		entry.Headers = append(entry.Headers, &wire.JobHeader{Name: name, Value: value})
	}
	return entry
}
