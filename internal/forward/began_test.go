package forward

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestRunStartIsReportedOncePerRun checks that Config.OnRunStarted is called once for each back end that ran or may
// have run a request, with the time at which the run began: the first event of a stream and otherwise the send, even if
// the answer comes much later or never.
func TestRunStartIsReportedOncePerRun(t *testing.T) {
	for name, test := range map[string]struct {
		script []step
		want   []time.Duration
	}{
		"answered":               {[]step{after(2*time.Second, good)}, []time.Duration{0}},
		"refused, then answered": {[]step{after(time.Second, full), good}, []time.Duration{time.Second}},
		"unreachable":            {[]step{unreachable}, nil},
		"lost, then answered":    {[]step{after(time.Second, lost), good}, []time.Duration{0, time.Second}},
		"a stream":               {[]step{after(3*time.Second, answers(200, true, true, "data: x\n\n"))}, []time.Duration{3 * time.Second}},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, tenantRows, test.script...)
			start := time.Now()
			var mutex sync.Mutex
			var reported []time.Duration
			f.config.OnRunStarted = func(tenant string, at time.Time) {
				mutex.Lock()
				defer mutex.Unlock()
				if tenant != "One" {
					t.Errorf("%s: OnRunStarted was called for tenant %q, want \"One\"", name, tenant)
				}
				reported = append(reported, at.Sub(start))
			}
			f.serveWithKey("k1", "")
			if !slices.Equal(reported, test.want) {
				t.Errorf("%s: OnRunStarted was called at %v, want %v", name, reported, test.want)
			}
		})
	}
}

// TestRunStartIsNotReportedWithoutLease checks that a request whose lease lapses immediately before the send does not
// count as usage of its tenant.
func TestRunStartIsNotReportedWithoutLease(t *testing.T) {
	f := newFixture(t, tenantRows, func(_ context.Context, _ *replica.Call, _ replica.Sink) replica.Outcome {
		return replica.Outcome{Verdict: verdict.DidNotRun, Err: errNoLease}
	})
	f.config.OnRunStarted = func(string, time.Time) { t.Error("OnRunStarted was called for a request that was not sent") }
	if failure := f.serveWithKey("k1", ""); failure == nil {
		t.Error("the request was answered, want a failure")
	}
}
