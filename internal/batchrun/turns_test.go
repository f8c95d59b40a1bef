package batchrun

import (
	"context"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// The tenant weights of the table must reach the scheduler, which lets late items of several tenants take turns by
// weight. The log must show that owners take turns.
func TestLateItemsOfTenantsTakeTurnsByWeight(t *testing.T) {
	const items, checked = 30, 20
	r := newRig(t)
	r.session.addRows = func(row func(name string, cells ...string)) {
		row("t1", "kind=tenant", "tenant_name=One", "tenant_weight=100")
		row("t2", "kind=tenant", "tenant_name=Two", "tenant_weight=300")
	}
	r.session.set(t, 4, "r1 active")
	release := make(chan struct{})
	answer := answerWith(5)
	delayed := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		<-release
		return answer(ctx, call, sink)
	}
	r.replicas.set(delayed, delayed)
	r.run(t)
	for _, tenant := range []string{"One", "Two"} {
		r.submit(t, tenant, items, func(submit *wire.JobSubmit) {
			submit.Tenant, submit.DeadlineMillis = tenant, 1
			for _, one := range submit.Items {
				one.Id = tenant + one.Id
			}
		})
	}
	submitted := time.Now()
	r.until(t, "both jobs to be late", func() bool {
		return len(eventsOf[*events.JobOpened](r)) == 2 && time.Since(submitted) > 10*time.Millisecond
	})
	close(release)
	r.until(t, "all runs", func() bool { return len(r.replicas.callsTo("")) == 2*items })
	if logged := eventsOf[*events.BatchTurns](r); len(logged) == 0 || !logged[0].Taken || logged[0].Owners != 2 {
		t.Errorf("logged %+v, want turns taken by 2 owners first", logged)
	}
	ofTwo := 0
	for _, call := range r.replicas.callsTo("")[:checked] {
		if call.Tenant == "Two" {
			ofTwo++
		}
	}
	if ofTwo < checked/2+2 {
		t.Errorf("%d of the first %d items are of the tenant with weight 300 of 400, want at least %[2]d/2+2", ofTwo, checked)
	}
}
