package coordinator

import (
	"testing"
	"time"
)

func TestAccountCountsWaitsAndAcknowledgedAges(t *testing.T) {
	var account trainerAccount
	if stats := account.stats(time.Hour, "a"); stats != (TrainerStats{Trainer: "a"}) {
		t.Errorf("before the first fetch: %+v", stats)
	}
	account.begin(10 * time.Second)
	if stats := account.stats(14*time.Second, "a"); !stats.Waiting || stats.WaitedSeconds != 4 || stats.ObservedSeconds != 4 {
		t.Errorf("in the first fetch: %+v", stats)
	}
	account.handedOver([]uint64{9, 9, 9}) // its reply is lost
	account.end(15 * time.Second)
	account.begin(16 * time.Second)
	account.handedOver([]uint64{0, 1, 3})
	account.end(17 * time.Second)
	if stats := account.stats(20*time.Second, "a"); stats.Samples != 0 || stats.WaitedSeconds != 6 || stats.ObservedSeconds != 10 {
		t.Errorf("before it is acknowledged: %+v", stats)
	}
	account.acknowledged()
	account.acknowledged()
	want := TrainerStats{Trainer: "a", ObservedSeconds: 10, WaitedSeconds: 6, Samples: 3, StalenessMean: 4.0 / 3, StalenessP99: 3, StalenessMax: 3}
	if stats := account.stats(20*time.Second, "a"); stats != want {
		t.Errorf("%+v, want %+v", stats, want)
	}
	ages := make([]uint64, 1000)
	ages[0], ages[1] = 1000, 7
	account.handedOver(ages)
	account.acknowledged()
	if stats := account.stats(20*time.Second, "a"); stats.StalenessP99 != 0 || stats.StalenessMax != maxCountedAge {
		t.Errorf("with two old ones of a thousand: %+v", stats)
	}
}
