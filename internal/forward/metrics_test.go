package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// gather returns the values of the metrics by name and labels.
func (f *fixture) gather(t *testing.T) map[string]float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(f.Process().Collector())
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, family := range families {
		for _, sample := range family.GetMetric() {
			key := family.GetName()
			for _, label := range sample.GetLabel() {
				key += " " + label.GetValue()
			}
			got[key] = sample.GetCounter().GetValue() + sample.GetGauge().GetValue() + float64(sample.GetHistogram().GetSampleCount())
		}
	}
	return got
}

func TestRequestsAreCountedByOutcome(t *testing.T) {
	f := newFixture(t, baseRows+"r route_kind once", good)
	if _, failure := f.serve(context.Background()); failure != nil {
		t.Fatal(failure)
	}
	_ = f.Serve(context.Background(), &Request{Method: "GET", Host: "other", Path: "/", Received: time.Now()}, &recordedReply{})
	got := f.gather(t)
	const name = "tamarindring_forward_request"
	want := map[string]float64{name + "s_total once answered": 1, name + "s_total  " + NoRoute.String(): 1, name + "s_in_flight": 0,
		name + "_duration_seconds once": 1, name + "_duration_seconds ": 1,
		"tamarindring_forward_sends_total whole": 1, "tamarindring_forward_send_duration_seconds whole": 1,
		"tamarindring_forward_admission_wait_seconds granted": 1}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got metrics %v, want %v", got, want)
	}
	if f.Process().Ready(context.Background()) == nil != f.Ready() {
		t.Error("Process().Ready and Ready disagree")
	}
}
