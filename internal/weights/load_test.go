package weights

import (
	"errors"
	"testing"
	"time"
)

// TestLoadIsSeenSoon plays a load of 0.9 s at a replica whose accounts are 100 ms old: its place is free again within
// two looks, and not before the replica says so.
func TestLoadIsSeenSoon(t *testing.T) {
	const loadTime, accountAge = 900 * time.Millisecond, 100 * time.Millisecond
	order := &Order{Number: 2}
	at := firstLook
	for {
		report := Report{Busy: true, Serving: 1}
		if at-accountAge >= loadTime {
			report = Report{Serving: 2}
		}
		seen := judge(order, at, report, nil)
		if seen == finished {
			break
		}
		if seen != pending {
			t.Fatalf("after %s: %d", at, seen)
		}
		at += nextLook
	}
	if earliest := loadTime + accountAge; at < earliest || at > earliest+2*nextLook {
		t.Fatalf("the load was seen after %s", at)
	}
}

// TestOrderNotCarriedOut: an old account is no proof, a long load is no failure, and silence ends the wait.
func TestOrderNotCarriedOut(t *testing.T) {
	order, idle, busy := &Order{Number: 2}, Report{Serving: 1}, Report{Serving: 1, Busy: true}
	silent := errors.New("no answer")
	for _, question := range []struct {
		after  time.Duration
		report Report
		err    error
		want   progress
	}{
		{firstLook, idle, nil, pending},
		{firstLook, Report{}, silent, pending},
		{carriedOutWithin, busy, nil, pending},
		{2 * carriedOutWithin, busy, nil, pending},
		{carriedOutWithin, idle, nil, notCarriedOut},
		{carriedOutWithin, Report{}, silent, notCarriedOut},
		{carriedOutWithin, Report{Serving: 3}, nil, finished},
	} {
		if got := judge(order, question.after, question.report, question.err); got != question.want {
			t.Errorf("%+v: %d", question, got)
		}
	}
}
