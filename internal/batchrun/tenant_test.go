package batchrun

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestItemsAndTheirRewardCallsRunForTheJobsTenant.
func TestItemsAndTheirRewardCallsRunForTheJobsTenant(t *testing.T) {
	r := newRig(t)
	r.scorers(t)
	r.rateBy(scoring)
	r.run(t)
	r.submit(t, "a", 4, func(submit *wire.JobSubmit) {
		submit.Tenant = "One"
		rewarded(submit)
	})
	r.until(t, "8 calls", func() bool { return len(r.replicas.callsTo("")) >= 8 })
	if rewards := rewardCalls(r.replicas.callsTo("")); len(rewards) != 4 {
		t.Errorf("%d reward calls", len(rewards))
	}
	for _, call := range r.replicas.callsTo("") {
		if call.Tenant != "One" {
			t.Errorf("%s ran for tenant %q", call.AttemptID, call.Tenant)
		}
	}
}

// TestTextsAreKeptForTheirTenantOnly: another one that names the same item gets nothing of it.
func TestTextsAreKeptForTheirTenantOnly(t *testing.T) {
	kept, entry := newKeptTexts(), &wire.JobItem{Id: "i", Path: "/x"}
	kept.keep("One", entry, &text{data: []byte("e0"), events: 1})
	for _, other := range []string{"Two", ""} {
		if kept.take(other, entry) != nil {
			t.Errorf("tenant %q gets the text", other)
		}
	}
	if kept.take("One", entry) == nil {
		t.Error("the text is lost")
	}
}
