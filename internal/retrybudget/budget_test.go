package retrybudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// event is one call to a budget in a generated run.
type event struct {
	at      time.Duration
	kind    int // a kind of call, such as beginEvent
	backEnd string
	allowed bool
	charged bool // it took a token of the budget

	inFlight int // requests in flight after it
}

const (
	beginEvent = iota
	retryEvent
	hedgeEvent
	resumeEvent
	endEvent
	kindCount
)

// generateCalls draws a sequence of calls, makes them to a budget and returns them with their results.
func generateCalls(t *rapid.T, limits Limits, backEnds int) []event {
	budget := New(0, limits)
	var events []event
	now, inFlight := time.Duration(0), 0
	for range rapid.IntRange(1, 300).Draw(t, "calls") {
		now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 100 * time.Millisecond, 3 * time.Second}).Draw(t, "gap")
		called := event{at: now, kind: rapid.IntRange(0, kindCount-1).Draw(t, "kind"), allowed: true,
			backEnd: fmt.Sprint(rapid.IntRange(1, backEnds).Draw(t, "back end"))}
		before := budget.State(now).Tokens
		switch called.kind {
		case beginEvent:
			inFlight++
			budget.Began(now)
		case endEvent:
			if inFlight > 0 {
				inFlight--
				budget.Ended()
			}
		case retryEvent:
			called.allowed = budget.Retry(now, called.backEnd)
		case hedgeEvent:
			called.allowed = budget.Hedge(now)
		case resumeEvent:
			budget.Resumed(now, called.backEnd)
		}
		called.charged, called.inFlight = budget.State(now).Tokens < before, inFlight
		events = append(events, called)
	}
	return events
}

// summary counts what a sequence of events contains.
type summary struct {
	began, charged int
	resent         map[string]int // retries and resumed streams, by the back end that lost the request
}

func summarize(events []event) summary {
	total := summary{resent: map[string]int{}}
	for _, each := range events {
		if each.kind == beginEvent {
			total.began++
		}
		if each.charged && each.kind != resumeEvent {
			total.charged++
		}
		if each.allowed && (each.kind == retryEvent || each.kind == resumeEvent) {
			total.resent[each.backEnd]++
		}
	}
	return total
}

// inCountedIntervals returns the events that the budget still counts at a time. It drops whole intervals.
func inCountedIntervals(events []event, at time.Duration) []event {
	first := at.Truncate(intervalLength) - (intervalCount-1)*intervalLength
	for len(events) > 0 && events[0].at < first {
		events = events[1:]
	}
	return events
}

// TestResendsStayWithinBudget guards against a budget that permits more resends than its limits. Between any two
// times, the retries and hedges that took tokens are at most the largest capacity so far, plus the ratio of the
// requests that began, plus the constant rate. Resumed streams may exceed this.
func TestResendsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: rapid.Float64Range(0.05, 1).Draw(t, "part"), InFlight: rapid.Float64Range(0, 1).Draw(t, "in flight"),
			PerSecond: rapid.Float64Range(0, 1).Draw(t, "rate"), Burst: rapid.Float64Range(0, 3).Draw(t, "burst")}
		events := generateCalls(t, limits, 4)
		for last, each := range events {
			if !each.charged || each.kind == resumeEvent {
				continue
			}
			most := 0
			for first := range last + 1 {
				most = max(most, events[first].inFlight)
			}
			for first := range last {
				gained := summarize(events[first : last+1])
				bound := limits.InFlight*float64(most) + limits.Burst + limits.Ratio*float64(gained.began) +
					limits.PerSecond*(each.at-events[first].at).Seconds()
				if float64(gained.charged) > bound+1e-9 {
					t.Fatalf("%d resends took tokens from %s to %s, want at most %v", gained.charged, events[first].at, each.at, bound)
				}
			}
		}
	})
}

// TestOnlyBackEndWithMostLossesIsExempt guards against retries that take no token although another back end has lost
// more requests within Span.
func TestOnlyBackEndWithMostLossesIsExempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := generateCalls(t, Limits{Ratio: 0.1, PerSecond: 0.1}, 4)
		for position, each := range events {
			if each.kind != retryEvent || !each.allowed || each.charged {
				continue
			}
			resent := summarize(inCountedIntervals(events[:position], each.at)).resent
			for other, count := range resent {
				if count > resent[each.backEnd] {
					t.Fatalf("at %s the retry for back end %s took no token, although back end %s has lost more: %d", each.at, each.backEnd, other, count)
				}
			}
		}
	})
}

// TestRetriesForSingleFailedBackEndAreNeverRejected checks that all retries are permitted when only one back end
// fails, however many there are and however many tokens hedges have taken.
func TestRetriesForSingleFailedBackEndAreNeverRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, each := range generateCalls(t, Limits{Ratio: 0.2}, 1) {
			if each.kind == retryEvent && !each.allowed {
				t.Fatalf("a retry at %s was rejected, want all permitted", each.at)
			}
		}
	})
}

// TestPoolWithFewRequestsCanRetry checks that the constant rate permits a retry of each request when requests are
// rare, also while all back ends fail.
func TestPoolWithFewRequestsCanRetry(t *testing.T) {
	budget := New(0, DefaultLimits)
	for second := range 120 {
		now := time.Duration(second) * time.Second
		budget.Began(now)
		if !budget.Retry(now, fmt.Sprint(second%7)) {
			t.Fatalf("the retry at %s was rejected, want all permitted", now)
		}
	}
}

// TestBudgetRecoversAfterSpan guards against a retry storm whose effect or memory use outlasts Span.
func TestBudgetRecoversAfterSpan(t *testing.T) {
	budget := New(0, DefaultLimits)
	refused := 0
	for number := range 1000 {
		if !budget.Retry(0, fmt.Sprint(number)) {
			refused++
		}
	}
	if refused < 900 {
		t.Errorf("%d of 1000 retries for as many back ends were rejected, want 900 at least", refused)
	}
	if !budget.Retry(Span, "1") || !budget.Hedge(Span) {
		t.Error("a retry or hedge was rejected after Span without calls, want both permitted")
	}
	if held := len(budget.lost); held > 1 {
		t.Errorf("the losses of %d back ends are kept after Span, want 1 at most", held)
	}
}

// TestBackwardClockKeepsCounts checks that a time before the previous one does not reset the budget.
func TestBackwardClockKeepsCounts(t *testing.T) {
	budget := New(0, Limits{Ratio: 1, InFlight: 1})
	budget.Began(time.Minute)
	if !budget.Hedge(time.Second) || budget.Hedge(time.Minute) {
		t.Error("want exactly one hedge permitted for one request, also when the clock goes back")
	}
}
