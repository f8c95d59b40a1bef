package weights

import (
	"fmt"
	"testing"

	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
)

// TestSurveysAreBounded checks that a survey of a large fleet queries at most maxSurveyed replicas, and that no
// survey starts while another one is in progress.
func TestSurveysAreBounded(t *testing.T) {
	const replicas = 3 * maxSurveyed
	f := newFixture(t, replicas)
	f.driver.reportedVersions, f.driver.reported = map[string][]registry.ModelVersion{}, map[string]bool{}
	f.driver.ObserveHeartbeat(&registry.Registration{Instance: "i-0", Models: []registry.ModelVersion{{Model: "m0", Number: 1}}})
	view := f.driver.config.View()
	reviewedSlots(f.driver)
	f.driver.surveyRunning.Store(true)
	f.driver.survey(t.Context(), view)
	f.driver.background.Wait()
	if f.sender.reports != 0 {
		t.Errorf("%d replicas were queried during another survey, want 0", f.sender.reports)
	}
	f.driver.surveyRunning.Store(false)
	f.driver.survey(t.Context(), view)
	f.driver.background.Wait()
	if f.sender.reports != maxSurveyed || f.driver.surveyRunning.Load() {
		t.Errorf("%d replicas were queried by one survey, want maxSurveyed, or the survey did not end", f.sender.reports)
	}
	targets := make([]replica.Target, 0, replicas)
	for number := range replicas {
		targets = append(targets, replica.Target{Instance: fmt.Sprint("i-", number)})
	}
	if found := Survey(t.Context(), f.sender, targets); len(found) != maxSurveyed {
		t.Errorf("%d replicas answered a survey of %d, want maxSurveyed", len(found), replicas)
	}
}
