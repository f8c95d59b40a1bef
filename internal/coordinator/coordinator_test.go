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
	f.train(t, trainer.Config{Name: "a", PromptsPerStep: 4, SamplesPerPrompt: 3, MaxTokens: 60, MaxSteps: 4, StepsAhead: 1,
		LoseReplyProbability: 0.3, Seed: 1})
	stats := f.coordinators[0].Stats()
	if stats.HandedOver != 48 || stats.StepsCompleted != 4 || stats.VersionsReleased != 4 || stats.SamplesFinished < 48 {
		t.Errorf("stats %+v", stats)
	}
	f.awaitServed(t, 4)
}

func TestWholeStepsAreHandedOverTogether(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 1)
	f.train(t, trainer.Config{Name: "a", PromptsPerStep: 3, SamplesPerPrompt: 2, MaxTokens: 40, MaxSteps: 3, WholeStep: true,
		LoseReplyProbability: 0.3, Seed: 2})
	if stats := f.coordinators[0].Stats(); stats.StepsCompleted != 3 {
		t.Errorf("stats %+v", stats)
	}
}

// TestPollsStayWithinTheirPace holds for any state of a wave: nothing else sets the interval.
func TestPollsStayWithinTheirPace(t *testing.T) {
	for _, count := range []int{1, 8, 24, 600, 6000} {
		for _, unsettled := range []int{0, 1, count / 7, count} {
			pace := newPollPace(DefaultLoadInterval, 128, count, unsettled)
			settled := float64(count-unsettled) / pace.settled.Seconds()
			hurried := float64(unsettled) / pace.unsettled.Seconds()
			if settled > pollsPerSecond || hurried > pollsPerSecond || unsettled < count && hurried > unsettledPerSecond && pace.unsettled < pace.settled {
				t.Errorf("%d replicas, %d unsettled: %v polls a second and %v at %+v", count, unsettled, settled, hurried, pace)
			}
			if pace.unsettled > pace.settled || count <= 8 && pace.settled != DefaultLoadInterval {
				t.Errorf("%d replicas, %d unsettled: %+v", count, unsettled, pace)
			}
		}
	}
	if traffic := 600 * (450 + reportHeaderBytes) / PollInterval(DefaultLoadInterval, 450, 600).Seconds(); traffic > pollBytesPerSecond+1 {
		t.Errorf("large reports: %v bytes a second", traffic)
	}
	if unsettledInterval+DefaultLoadTimeout >= replicaSilence {
		t.Error("a replica that is polled at the unsettled interval can count as silent")
	}
}

// TestAnswerToASwapIsNewsOfItsReplica replays what lagging reports say around a swap.
func TestAnswerToASwapIsNewsOfItsReplica(t *testing.T) {
	const grace = 6 * time.Second
	replica := &replicaState{}
	old := loadReport{WeightVersion: "v1", VersionNumber: 1, Running: 2}
	replica.take(time.Second, old, grace)
	replica.swappedTo(2*time.Second, wave.Version{Name: "v2", Number: 2})
	replica.take(3*time.Second, old, grace)
	if replica.report.VersionNumber != 2 || replica.report.WeightVersion != "v2" || replica.report.Running != 2 {
		t.Errorf("after an old report: %+v", replica.report)
	}
	replica.take(9*time.Second, old, grace)
	if replica.report.VersionNumber != 1 {
		t.Errorf("a replica that lost the version is not seen: %+v", replica.report)
	}
}

func TestReplicaServesUntilItIsSilent(t *testing.T) {
	replica := &replicaState{}
	if replica.serves(0) {
		t.Error("an unknown replica serves")
	}
	replica.take(time.Second, loadReport{VersionNumber: 1}, 0)
	if !replica.serves(time.Minute) || replica.unsettled() {
		t.Error("a replica whose next poll is not due counts as silent")
	}
	replica.failed = true
	if !replica.serves(time.Second+replicaSilence-1) || replica.serves(time.Second+replicaSilence) || !replica.unsettled() {
		t.Error("a replica that does not answer must serve until it has been silent for a while")
	}
	replica.failed = false
	if replica.report.Leaving = true; replica.serves(time.Second) || !replica.unsettled() {
		t.Error("a replica that leaves serves")
	}
}
