package processbench

import (
	"context"
	"os"
	"testing"
	"time"
)

// TestMeasureReportsActivityOfAProcess guards against figures that stay 0. The measured process is the test itself,
// which writes to the null device all the time.
func TestMeasureReportsActivityOfAProcess(t *testing.T) {
	stop := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
		if err != nil {
			t.Error(err)
			return
		}
		defer null.Close()
		for content := make([]byte, 4096); ; {
			select {
			case <-stop:
				return
			default:
				_, _ = null.Write(content)
			}
		}
	}()
	costs, err := Measure(context.Background(), []int{os.Getpid()}, 300*time.Millisecond)
	close(stop)
	<-finished
	if err != nil {
		t.Fatal(err)
	}
	if cost := costs[0]; cost.Cores == 0 || cost.WrittenPerSec == 0 || cost.ResidentBytes == 0 || cost.Command == "" {
		t.Fatalf("got %+v for a process that writes all the time, want values above 0 and a command", cost)
	}
}

// TestMeasureRejectsUnknownProcess guards against a result for a process that does not exist.
func TestMeasureRejectsUnknownProcess(t *testing.T) {
	if _, err := Measure(context.Background(), []int{-1}, time.Millisecond); err == nil {
		t.Fatal("got a cost for a process that does not exist, want an error")
	}
}
