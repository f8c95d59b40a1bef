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

// TestWhatBeganIsToldOnce for each back end that ran a request or may have, at the time at which it began there: with the first
// event of a stream and otherwise with the send, also when the answer comes much later or never.
func TestBeganIsReportedOncePerRun(t *testing.T) {
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
			var told []time.Duration
			f.config.Began = func(tenant string, at time.Time) {
				mutex.Lock()
				defer mutex.Unlock()
				if tenant != "One" {
					t.Errorf("%s: told of tenant %q", name, tenant)
				}
				told = append(told, at.Sub(start))
			}
			f.serveWithKey("k1", "")
			if !slices.Equal(told, test.want) {
				t.Errorf("%s: told %v, want %v", name, told, test.want)
			}
		})
	}
}

// TestWhatIsHeldBackAtTheSendDidNotBegin: a request whose lease lapses directly before the send is nobody's use.
func TestBeganIsNotReportedWithoutLease(t *testing.T) {
	f := newFixture(t, tenantRows, func(_ context.Context, _ *replica.Call, _ replica.Sink) replica.Outcome {
		return replica.Outcome{Verdict: verdict.DidNotRun, Err: errNoLease}
	})
	f.config.Began = func(string, time.Time) { t.Error("told") }
	if failure := f.serveWithKey("k1", ""); failure == nil {
		t.Error("answered")
	}
}
