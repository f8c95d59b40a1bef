package batchrun

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Items and their reward calls must be sent with the tenant of their job, because usage is charged to it.
func TestItemsAndTheirRewardCallsRunForTheJobsTenant(t *testing.T) {
	r := newRig(t)
	r.addScorers(t)
	r.setScorers(answerScore)
	r.run(t)
	r.submit(t, "a", 4, func(submit *wire.JobSubmit) {
		submit.Tenant = "One"
		addRewards(submit)
	})
	r.until(t, "8 calls", func() bool { return len(r.replicas.callsTo("")) >= 8 })
	if rewards := rewardCalls(r.replicas.callsTo("")); len(rewards) != 4 {
		t.Errorf("%d reward calls, want 4", len(rewards))
	}
	for _, call := range r.replicas.callsTo("") {
		if call.Tenant != "One" {
			t.Errorf("%s ran for tenant %q, want \"One\"", call.AttemptID, call.Tenant)
		}
	}
}

// A job of another tenant with the same item must not get the cached text.
func TestCachedTextIsUsedForSameTenantOnly(t *testing.T) {
	cache, entry := newTextCache(), &wire.JobItem{Id: "i", Path: "/x"}
	cache.store("One", entry, &text{data: []byte("e0"), events: 1})
	for _, other := range []string{"Two", ""} {
		if cache.take(other, entry) != nil {
			t.Errorf("tenant %q got the text of tenant One", other)
		}
	}
	if cache.take("One", entry) == nil {
		t.Error("tenant One did not get its own text")
	}
}
