package claim

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	granted = wire.ClaimState_CLAIM_STATE_GRANTED
	done    = wire.ClaimState_CLAIM_STATE_DONE
	stale   = wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT
)

// driver applies commands to a store at increasing indexes.
type driver struct {
	store *Store
	index uint64
	now   int64 // Unix milliseconds
}

func (d *driver) begin(key, attempt string, ticket uint64) wire.ClaimState {
	d.index++
	result, _ := d.store.Begin(d.index, &wire.ClaimBegin{Key: key, Owner: "gateway", Attempt: attempt, Ticket: ticket, NowUnixMillis: d.now})
	return result.GetState()
}

func (d *driver) finish(key, attempt string, body []byte) wire.ClaimState {
	d.index++
	result, _ := d.store.Finish(d.index, &wire.ClaimFinish{Key: key, Attempt: attempt, Outcome: done, Answer: &wire.Answer{Status: 200, Body: body}, NowUnixMillis: d.now})
	return result.GetState()
}

func (d *driver) expire(retention Retention) {
	d.index++
	if _, err := d.store.Expire(d.index, retention.Command(d.now)); err != nil {
		panic(err)
	}
}

// TestRetentionHasTwoStages checks that a key loses first its answer and then its record, and guards against granting
// an attempt that arrived while the record existed after the record was dropped.
func TestRetentionHasTwoStages(t *testing.T) {
	d := &driver{store: New(), now: 1_000_000}
	retention := Retention{}.WithDefaults()
	d.begin("key", "first", 0)
	d.finish("key", "first", []byte("answer"))
	d.now += retention.Answers.Milliseconds() + 1
	d.begin("clock", "c", d.index) // the store's clock follows its commands
	d.expire(retention)
	if state := d.store.Get("key").GetState(); state != wire.ClaimState_CLAIM_STATE_ANSWER_EXPIRED {
		t.Fatalf("after the answer's retention: got state %v, want ANSWER_EXPIRED", state)
	}
	d.now += (retention.Keys - retention.Answers).Milliseconds()
	lateTicket := d.index
	d.begin("clock", "c", d.index)
	d.now += retention.Attempts.Milliseconds()
	d.begin("clock", "c", d.index)
	d.expire(retention)
	if d.store.Len() != 2 {
		t.Fatal("the key was dropped while attempts that arrived within its retention can still be granted")
	}
	d.now++
	d.begin("clock", "c", d.index)
	d.expire(retention)
	if d.store.Get("key").GetState() != idle || d.store.Len() != 1 {
		t.Fatalf("got key %v and %d keys in the store, want the key dropped and 1 key", d.store.Get("key"), d.store.Len())
	}
	if state := d.begin("key", "late", lateTicket); state != stale {
		t.Fatalf("attempt that arrived before the key was dropped: got %v, want STALE_ATTEMPT", state)
	}
	if state := d.begin("key", "fresh", d.index); state != granted {
		t.Fatalf("attempt that arrived afterwards: got %v, want GRANTED", state)
	}
}

// TestForgottenKeyIsNotCalledNotRun guards against the verdict "did not run" for a key that ran: an attempt that
// arrived while the key was stored is refused only after the key has been dropped.
func TestForgottenKeyIsNotCalledNotRun(t *testing.T) {
	for _, unsafe := range []Unsafe{{}, {RefuseBelowFloor: true}} {
		d := &driver{store: NewUnsafe(unsafe), now: 1_000_000}
		retention := Retention{}.WithDefaults()
		d.begin("key", "first", 0)
		d.finish("key", "first", nil)
		ticket := d.index
		for d.store.Get("key").GetState() != idle {
			d.now += retention.Attempts.Milliseconds()
			d.begin("clock", "c", d.index)
			d.expire(retention)
		}
		d.index++
		result, err := d.store.Refuse(d.index, &wire.ClaimRefuse{Key: "key", Ticket: ticket, NowUnixMillis: d.now})
		if err != nil {
			t.Fatal(err)
		}
		if found := result.GetState() == idle; found != unsafe.RefuseBelowFloor {
			t.Errorf("with %+v: got state %v, want UNSPECIFIED only with RefuseBelowFloor", unsafe, result.GetState())
		}
		if fresh, err := d.store.Refuse(d.index+1, &wire.ClaimRefuse{Key: "other", Ticket: d.index}); err != nil || fresh.GetState() != idle {
			t.Errorf("refusal of an unknown key with a recent ticket: got %v, %v, want UNSPECIFIED", fresh.GetState(), err)
		}
	}
}

// TestOneFastClockExpiresNothing guards against early expiry by a single clock: the proposer of ClaimExpire is a day
// ahead of all other proposers.
func TestOneFastClockExpiresNothing(t *testing.T) {
	d := &driver{store: New(), now: 1_000_000}
	d.begin("key", "first", 0)
	d.finish("key", "first", nil)
	fast := *d
	fast.now += 24 * 60 * 60 * 1000
	fast.expire(Retention{}.WithDefaults())
	if state := d.begin("key", "again", d.index); state != done {
		t.Fatalf("resend within the retention: got %v, want DONE", state)
	}
}

// TestLargeAnswerKeepsItsDigest checks that a body above the limit is replaced by its size and digest.
func TestLargeAnswerKeepsItsDigest(t *testing.T) {
	d := &driver{store: New()}
	d.begin("key", "a", 0)
	d.finish("key", "a", make([]byte, MaximumAnswerBytes+1))
	answer := d.store.Get("key").GetAnswer()
	if !answer.GetBodyDropped() || answer.GetBodySize() != MaximumAnswerBytes+1 || len(answer.GetBody()) != 0 || answer.GetStatus() != 200 || answer.GetBodyDigest() == 0 {
		t.Fatalf("got answer %v, want status 200 with the size and digest of the body and no body", answer)
	}
}

// TestManyReleasesStayBounded releases more attempts of a key than are stored one by one. None may be granted, and the
// list must stay within its limit.
func TestManyReleasesStayBounded(t *testing.T) {
	d := &driver{store: New()}
	for attempt := range 3 * MaximumReleased {
		d.index++
		if _, err := d.store.Release(d.index, &wire.ClaimRelease{Key: "key", Attempt: fmt.Sprint(attempt)}); err != nil {
			t.Fatal(err)
		}
	}
	for attempt := range 3 * MaximumReleased {
		if state := d.begin("key", fmt.Sprint(attempt), 0); state != stale {
			t.Fatalf("released attempt %d: got %v, want STALE_ATTEMPT", attempt, state)
		}
	}
	if count := len(d.store.records["key"].released); count > MaximumReleased {
		t.Fatalf("%d released attempts are stored, want at most 8", count)
	}
}

func TestMalformedClaimsAreRefused(t *testing.T) {
	long := string(make([]byte, 300))
	store := New()
	for _, command := range []*wire.ClaimBegin{
		nil, {Key: "k", Attempt: "a"}, {Key: "k", Owner: "o"}, {Attempt: "a", Owner: "o"}, {Key: long, Attempt: "a", Owner: "o"},
		{Key: "k", Attempt: long, Owner: "o"}, {Key: "k", Attempt: "a", Owner: "o", BodyHash: make([]byte, 33)},
	} {
		if _, err := store.Begin(1, command); err == nil {
			t.Errorf("malformed command %v was accepted", command)
		}
	}
	if _, err := store.Finish(1, &wire.ClaimFinish{Key: "k", Attempt: "a"}); err == nil {
		t.Error("a ClaimFinish without an outcome was accepted")
	}
	if _, err := store.Expire(1, &wire.ClaimExpire{KeysBeforeUnixMillis: 1, AttemptsBeforeUnixMillis: 2}); err == nil {
		t.Error("a ClaimExpire that drops keys before answers was accepted")
	}
}

// TestKeysRunOnceUnderExpiry runs random attempts of a few keys with a short retention. Callers follow the rule that a
// key is not retried later than Keys after its last change. No key may run twice. The store is replaced by a restored
// copy of its snapshot before each attempt.
func TestKeysRunOnceUnderExpiry(t *testing.T) {
	retention := Retention{Answers: 2e9, Keys: 6e9, Attempts: 4e9}
	rapid.Check(t, func(t *rapid.T) {
		d := &driver{store: New(), now: 1_000_000}
		type attempt struct {
			key, name string
			ticket    uint64
		}
		var waiting []attempt
		runs, lastUse := map[string]int{}, map[string]int64{}
		for step := range rapid.IntRange(30, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0, 1, 2:
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				if last, used := lastUse[key]; !used || d.now <= last+retention.Keys.Milliseconds() {
					waiting = append(waiting, attempt{key, fmt.Sprint(step), d.index})
				}
			case 3:
				if len(waiting) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(waiting)-1).Draw(t, "attempt")
				chosen := waiting[at]
				waiting = append(waiting[:at], waiting[at+1:]...)
				copied := New()
				if err := copied.Restore(proto.CloneOf(d.store.Snapshot())); err != nil {
					t.Fatal(err)
				}
				d.store = copied
				if d.begin(chosen.key, chosen.name, chosen.ticket) == granted {
					runs[chosen.key]++
					lastUse[chosen.key] = d.now
					d.finish(chosen.key, chosen.name, nil)
				}
			default:
				d.now += int64(rapid.IntRange(0, 4_000).Draw(t, "millis"))
				d.begin("clock", "c", d.index)
				d.expire(retention)
			}
		}
		for key, count := range runs {
			if count > 1 {
				t.Fatalf("key %s ran %d times, want at most once", key, count)
			}
		}
	})
}

// BenchmarkClaims begins and finishes b.N claims. It reports the heap bytes per claim while the answers are stored, and
// after they were dropped.
func BenchmarkClaims(b *testing.B) {
	b.ReportAllocs()
	before := heap()
	d := &driver{store: New(), now: 1_000_000}
	for position := range b.N {
		key, attempt := fmt.Sprintf("order-%032d", position), fmt.Sprintf("gateway-1/17/%d", position)
		d.begin(key, attempt, d.index)
		d.finish(key, attempt, []byte(`{"delivered":true,"id":"0123456789"}`))
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N), "heap-B/claim")
	for step := 0; step <= b.N; step += MaximumExpired {
		_, _ = d.store.Expire(d.index, &wire.ClaimExpire{AnswersBeforeUnixMillis: d.now + 1, KeysBeforeUnixMillis: 1, AttemptsBeforeUnixMillis: 2})
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N), "heap-B/key")
	runtime.KeepAlive(d)
}

func heap() int64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc)
}
