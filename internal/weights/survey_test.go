package weights

import (
	"fmt"
	"testing"

	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
)

// TestSurveysAreBounded: a leader of a large fleet asks some hundred replicas at a time and leaves the others to their
// heartbeats, and begins no survey while one is under way.
func TestSurveysAreBounded(t *testing.T) {
	const replicas = 3 * surveyMost
	f := prepare(t, replicas)
	f.driver.heard, f.driver.told = map[string][]registry.ModelVersion{}, map[string]bool{}
	f.driver.Heard(&registry.Registration{Instance: "i-0", Models: []registry.ModelVersion{{Model: "m0", Number: 1}}})
	view := f.driver.config.View()
	f.driver.asking.Store(true)
	f.driver.survey(t.Context(), view)
	f.driver.orders.Wait()
	if f.fleet.reports != 0 {
		t.Errorf("%d replicas were asked beside another survey", f.fleet.reports)
	}
	f.driver.asking.Store(false)
	f.driver.survey(t.Context(), view)
	f.driver.orders.Wait()
	if f.fleet.reports != surveyMost || f.driver.asking.Load() {
		t.Errorf("%d replicas were asked in one survey", f.fleet.reports)
	}
	targets := make([]replica.Target, 0, replicas)
	for number := range replicas {
		targets = append(targets, replica.Target{Instance: fmt.Sprint("i-", number)})
	}
	if found := Survey(t.Context(), f.fleet, targets); len(found) != surveyMost {
		t.Errorf("%d replicas answered a survey of %d", len(found), replicas)
	}
}
