package recovery

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// TestPanicEndsOnlyItsWork checks that a panic becomes the error of its work, that deferred functions run, and that the
// panic is counted and logged with its stack.
func TestPanicEndsOnlyItsWork(t *testing.T) {
	var written bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&written)
	before, released := countPanics(t), false
	err := Do(logrus.NewEntry(logger), "a-1", "test", func() {
		defer func() { released = true }()
		panic("bad bytes")
	})
	var panicked *PanicError
	if !errors.As(err, &panicked) || panicked.Value != "bad bytes" || !released {
		t.Errorf("got error %v and released %t, want a PanicError after the deferred function", err, released)
	}
	if got := countPanics(t) - before; got != 1 {
		t.Errorf("%v panics were counted, want 1", got)
	}
	for _, want := range []string{"request_panicked", "a-1", "bad bytes", "recovery_test.go"} {
		if !strings.Contains(written.String(), want) {
			t.Errorf("the log line lacks %q: %s", want, written.String())
		}
	}
	if err = Do(logrus.NewEntry(logger), "a-2", "test", func() {}); err != nil {
		t.Errorf("got error %v for work that ended, want nil", err)
	}
}

// countPanics returns the value of the counter.
func countPanics(t *testing.T) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(Collector())
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	return families[0].GetMetric()[0].GetCounter().GetValue()
}
