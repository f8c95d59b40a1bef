package weights

import (
	"errors"
	"testing"
	"time"
)

// TestCompletedLoadIsDetectedPromptly checks that a load of 0.9 s on a replica whose reports are 100 ms old is
// detected as finished within two report intervals, and not before the replica reports it.
func TestCompletedLoadIsDetectedPromptly(t *testing.T) {
	const loadTime, accountAge = 900 * time.Millisecond, 100 * time.Millisecond
	order := &Order{Number: 2}
	at := firstReportDelay
	for {
		report := Report{Busy: true, Serving: 1}
		if at-accountAge >= loadTime {
			report = Report{Serving: 2}
		}
		seen := evaluateReport(order, at, report, nil)
		if seen == finished {
			break
		}
		if seen != pending {
			t.Fatalf("order state after %s: got %d, want pending or finished", at, seen)
		}
		at += reportInterval
	}
	if earliest := loadTime + accountAge; at < earliest || at > earliest+2*reportInterval {
		t.Fatalf("load detected as finished after %s, outside the expected interval", at)
	}
}

// TestOrderStateFollowsReports checks that a report that may be older than the order does not end it, that a long
// load does not count as failed, and that a lack of reports ends the wait.
func TestOrderStateFollowsReports(t *testing.T) {
	order, idle, busy := &Order{Number: 2}, Report{Serving: 1}, Report{Serving: 1, Busy: true}
	silent := errors.New("no answer")
	for _, test := range []struct {
		after  time.Duration
		report Report
		err    error
		want   orderState
	}{
		{firstReportDelay, idle, nil, pending},
		{firstReportDelay, Report{}, silent, pending},
		{executionGrace, busy, nil, pending},
		{2 * executionGrace, busy, nil, pending},
		{executionGrace, idle, nil, notExecuted},
		{executionGrace, Report{}, silent, notExecuted},
		{executionGrace, Report{Serving: 3}, nil, finished},
	} {
		if got := evaluateReport(order, test.after, test.report, test.err); got != test.want {
			t.Errorf("case %+v: got order state %d", test, got)
		}
	}
}
