package coordinator

import (
	"testing"
	"time"
)

func TestAccountCountsWaitsAndAcknowledgedAges(t *testing.T) {
	var account trainerAccount
	if stats := account.stats(time.Hour, "a"); stats != (TrainerStats{Trainer: "a"}) {
		t.Errorf("stats before the first fetch: got %+v, want only the trainer's name", stats)
	}
	account.beginFetch(10 * time.Second)
	if stats := account.stats(14*time.Second, "a"); !stats.Waiting || stats.WaitedSeconds != 4 || stats.ObservedSeconds != 4 {
		t.Errorf("stats during the first fetch: got %+v, want 4 s observed and waited", stats)
	}
	account.recordHandedOver([]uint64{9, 9, 9}) // the reply is lost
	account.endFetch(15 * time.Second)
	account.beginFetch(16 * time.Second)
	account.recordHandedOver([]uint64{0, 1, 3})
	account.endFetch(17 * time.Second)
	if stats := account.stats(20*time.Second, "a"); stats.Samples != 0 || stats.WaitedSeconds != 6 || stats.ObservedSeconds != 10 {
		t.Errorf("stats before the acknowledgement: got %+v, want no samples, 6 s waited, 10 s observed", stats)
	}
	account.recordAcknowledged()
	account.recordAcknowledged()
	want := TrainerStats{Trainer: "a", ObservedSeconds: 10, WaitedSeconds: 6, Samples: 3, StalenessMean: 4.0 / 3, StalenessP99: 3, StalenessMax: 3}
	if stats := account.stats(20*time.Second, "a"); stats != want {
		t.Errorf("stats after the acknowledgement: got %+v, want %+v", stats, want)
	}
	ages := make([]uint64, 1000)
	ages[0], ages[1] = 1000, 7
	account.recordHandedOver(ages)
	account.recordAcknowledged()
	if stats := account.stats(20*time.Second, "a"); stats.StalenessP99 != 0 || stats.StalenessMax != maxCountedAge {
		t.Errorf("stats with two old samples among a thousand: got %+v, want a p99 of 0 and the largest counted age as maximum", stats)
	}
}
