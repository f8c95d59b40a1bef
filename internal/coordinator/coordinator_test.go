package coordinator

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/standin/trainer"
	"github.com/tamarindring/tamarindring/internal/wave"
)

func TestSamplesReachTheTrainerOnceAndWeightsTheReplicas(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 3, 1)
	f.runTrainer(t, trainer.Config{Name: "a", PromptsPerStep: 4, SamplesPerPrompt: 3, MaxTokens: 60, MaxSteps: 4, StepsAhead: 1,
		LoseReplyProbability: 0.3, Seed: 1})
	stats := f.coordinators[0].Stats()
	if stats.HandedOver != 48 || stats.StepsCompleted != 4 || stats.VersionsReleased != 4 || stats.SamplesFinished < 48 {
		t.Errorf("unexpected stats %+v", stats)
	}
	f.awaitServed(t, 4)
}

func TestWholeStepsAreHandedOverTogether(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 1)
	f.runTrainer(t, trainer.Config{Name: "a", PromptsPerStep: 3, SamplesPerPrompt: 2, MaxTokens: 40, MaxSteps: 3, WholeStep: true,
		LoseReplyProbability: 0.3, Seed: 2})
	if stats := f.coordinators[0].Stats(); stats.StepsCompleted != 3 {
		t.Errorf("unexpected stats %+v", stats)
	}
}

// TestLoadPollsStayWithinTheirRateLimits checks the poll intervals for any number of unsettled replicas. The intervals
// do not depend on the state of a wave.
func TestLoadPollsStayWithinTheirRateLimits(t *testing.T) {
	for _, count := range []int{1, 8, 24, 600, 6000} {
		for _, unsettled := range []int{0, 1, count / 7, count} {
			pace := newPollPace(DefaultLoadInterval, 128, count, unsettled)
			settled := float64(count-unsettled) / pace.settled.Seconds()
			fast := float64(unsettled) / pace.unsettled.Seconds()
			if settled > pollsPerSecond || fast > pollsPerSecond || unsettled < count && fast > unsettledPerSecond && pace.unsettled < pace.settled {
				t.Errorf("%d replicas, %d unsettled: %v polls/s of settled and %v of unsettled ones exceed the limit at %+v", count, unsettled, settled, fast, pace)
			}
			if pace.unsettled > pace.settled || count <= 8 && pace.settled != DefaultLoadInterval {
				t.Errorf("%d replicas, %d unsettled: wrong poll intervals %+v", count, unsettled, pace)
			}
		}
	}
	if traffic := 600 * (450 + reportHeaderBytes) / PollInterval(DefaultLoadInterval, 450, 600).Seconds(); traffic > pollBytesPerSecond+1 {
		t.Errorf("polls of large reports: got %v bytes/s, want at most pollBytesPerSecond", traffic)
	}
	if unsettledInterval+DefaultLoadTimeout >= replicaSilenceLimit {
		t.Error("a replica that is polled at the unsettled interval can count as silent")
	}
}

// TestSwapAnswerOverridesLaggingReports fails if a load report from before a swap replaces the version that the replica
// answered, or if the answer overrides reports for longer than the grace period.
func TestSwapAnswerOverridesLaggingReports(t *testing.T) {
	const grace = 6 * time.Second
	replica := &replicaState{}
	old := loadReport{WeightVersion: "v1", VersionNumber: 1, Running: 2}
	replica.applyReport(time.Second, old, grace)
	replica.recordSwap(2*time.Second, wave.Version{Name: "v2", Number: 2})
	replica.applyReport(3*time.Second, old, grace)
	if replica.report.VersionNumber != 2 || replica.report.WeightVersion != "v2" || replica.report.Running != 2 {
		t.Errorf("after an outdated report: got %+v, want version v2 (2)", replica.report)
	}
	replica.applyReport(9*time.Second, old, grace)
	if replica.report.VersionNumber != 1 {
		t.Errorf("a replica that lost its version is not detected: got %+v, want version number 1", replica.report)
	}
}

func TestReplicaServesUntilItIsSilent(t *testing.T) {
	replica := &replicaState{}
	if replica.isServing(0) {
		t.Error("a replica without a report counts as serving")
	}
	replica.applyReport(time.Second, loadReport{VersionNumber: 1}, 0)
	if !replica.isServing(time.Minute) || replica.isUnsettled() {
		t.Error("a replica whose next poll is not due counts as silent")
	}
	replica.pollFailed = true
	if !replica.isServing(time.Second+replicaSilenceLimit-1) || replica.isServing(time.Second+replicaSilenceLimit) || !replica.isUnsettled() {
		t.Error("a replica that does not answer must count as serving until replicaSilenceLimit has passed")
	}
	replica.pollFailed = false
	if replica.report.Leaving = true; replica.isServing(time.Second) || !replica.isUnsettled() {
		t.Error("a leaving replica counts as serving")
	}
}
