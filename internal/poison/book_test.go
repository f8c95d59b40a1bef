package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestPermissions checks the permissions of one suspect in a process that follows the record, for rising numbers of
// crashes and after each rest.
func TestPermissions(t *testing.T) {
	book := NewBook(Settings{})
	const digest = Digest(7)
	record := func(crashes uint32, trials ...string) []Record {
		return []Record{{Digest: digest, Crashes: crashes, Crashed: trials, Trials: trials}}
	}
	now := time.Hour
	expect := func(want Permission, left time.Duration) {
		t.Helper()
		if got := book.Judge(now, digest, false); got.Permission != want || got.Remaining != left {
			t.Fatalf("%+v, want %s for %s", got, want, left)
		}
	}
	expect(Free, 0)
	book.Follow(now, record(1))
	expect(Isolated, 0)
	book.Follow(now, record(2))
	expect(Blocked, DefaultTrialRest)
	book.Follow(now+time.Second, record(2)) // unchanged, so the rest must not restart
	now += DefaultTrialRest
	expect(Trial, 0)
	book.Follow(now, record(3)) // beside two others, as far as is known
	expect(Blocked, DefaultTrialRest)
	if judged := book.Judge(now, digest, true); judged.Condemned() || judged.Remaining != DefaultOwedRest {
		t.Fatalf("an owed request after the third crash: got %+v, want the rest of an owed request", judged)
	}
	now += DefaultTrialRest
	expect(Trial, 0)
	book.Follow(now, record(4, "a"))
	if judged := book.Judge(now, digest, false); !judged.Condemned() || judged.Remaining != DefaultCondemnedRest {
		t.Fatalf("after a crash under a trial: got %+v, want condemned with the default rest", judged)
	}
	now += DefaultCondemnedRest
	expect(Trial, 0)
	book.Follow(now, record(5, "a", "b"))
	expect(Blocked, restGrowth*DefaultCondemnedRest)
	if outdated := book.Outdated(now + retainedRests*restGrowth*DefaultCondemnedRest); len(outdated) != 1 || outdated[0].Crashes != 5 {
		t.Errorf("got outdated entries %v, want the one with 5 crashes", outdated)
	}
	book.Follow(now, record(1000, "a", "b", "c", "d", "e", "f"))
	expect(Blocked, maximumRest)
	book.Follow(now, nil)
	expect(Free, 0)
}

// TestOwnCrashesCountUntilTheyAreOnRecord checks that a process that cannot reach the control group counts the crashes
// that it observed, and guards against counting a crash twice once it is on record.
func TestOwnCrashesCountUntilTheyAreOnRecord(t *testing.T) {
	book := NewBook(Settings{})
	const digest = Digest(7)
	for _, instance := range []string{"a", "a", "b"} {
		book.Crashed(0, digest, Crash{Instance: instance})
	}
	if judged := book.Judge(time.Hour, digest, false); judged.Crashes != 2 || judged.Permission != Blocked {
		t.Fatalf("got %+v, want 2 crashes and a rest until they are on record", judged)
	}
	if judged := book.Judge(recordTimeout-1, digest, false); !judged.Unrecorded {
		t.Errorf("got %+v before any crash is on record, want Unrecorded", judged)
	}
	if judged := book.Judge(recordTimeout, digest, false); judged.Unrecorded {
		t.Errorf("got %+v after the record timeout, want Unrecorded false", judged)
	}
	book.Recorded(0, digest, "a")
	if judged := book.Judge(0, digest, false); !judged.Unrecorded || judged.Crashes != 2 {
		t.Errorf("got %+v with one of two crashes accepted, want 2 crashes and Unrecorded", judged)
	}
	book.Recorded(0, digest, "b")
	if judged := book.Judge(0, digest, false); judged.Unrecorded || judged.Crashes != 2 {
		t.Errorf("got %+v with both crashes accepted, want 2 crashes and Unrecorded false", judged)
	}
	book.Follow(0, nil) // an older record
	if book.Judge(0, digest, false).Crashes != 2 {
		t.Fatal("crashes that are not on record yet were dropped, want 2 crashes")
	}
	book.Follow(0, []Record{{Digest: digest, Crashes: 1, Crashed: []string{"a"}}})
	if got := book.Judge(0, digest, false); got.Crashes != 2 || got.Recorded != 1 {
		t.Fatalf("got %+v, want 2 crashes with 1 on record", got)
	}
	book.Follow(0, []Record{{Digest: digest, Crashes: 2, Crashed: []string{"a", "b"}}})
	if got := book.Judge(time.Hour, digest, false); got.Crashes != 2 || got.Permission != Trial {
		t.Fatalf("got %+v, want 2 crashes and a trial", got)
	}
	book.Follow(0, nil)
	if !book.Empty() {
		t.Error("a suspect that was cleared is still suspected")
	}
	book.Crashed(0, digest, Crash{Instance: "c"})
	book.Lost(digest, "c")
	if !book.Empty() {
		t.Error("a crash that the full record cannot hold still counts")
	}
}

// recordTable is the table of the control group, without consensus.
type recordTable struct {
	held *table.Table
	ids  int
}

func (r *recordTable) view(t interface{ Fatal(...any) }) *table.View {
	view, err := table.NewView().Apply(r.held.UpdateSince(0))
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// apply applies a planned change. It returns false after a conflict, or if a row to remove does not exist.
func (r *recordTable) apply(planned Planned) bool {
	if len(planned.Change.Cells)+len(planned.Change.RemoveRows) == 0 {
		return true
	}
	r.ids++
	planned.Change.ChangeId, planned.Change.Operator = fmt.Sprint(r.ids), "test"
	return r.held.Apply(planned.Change).GetOutcome() == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED
}

// TestSharedCrashesDoNotCondemn guards against a sound request that is refused for minutes, because back ends crashed one
// after the other while it ran there. Only a crash under a trial speaks against it, and not the first one that another
// serious suspect shares.
func TestSharedCrashesDoNotCondemn(t *testing.T) {
	const sound, other = Digest(1), Digest(2)
	book := NewBook(Settings{})
	for number := range 5 {
		book.Follow(0, []Record{{Digest: sound, Crashes: uint32(number + 1)}})
		if judged := book.Judge(DefaultTrialRest, sound, false); judged.Permission > Trial {
			t.Errorf("after %d crashes without a trial: got %+v, want a trial after the rest", number+1, judged)
		}
	}
	both := []Record{{Digest: sound, Crashes: 3, Crashed: []string{"a"}, Trials: []string{"a"}}, {Digest: other, Crashes: 2, Crashed: []string{"a"}}}
	book.Follow(0, both)
	if judged := book.Judge(DefaultTrialRest, sound, false); judged.Permission != Trial {
		t.Errorf("after a trial that crashed together with another suspect: got %+v, want another trial", judged)
	}
	both[0].Crashed, both[0].Trials = []string{"a", "b"}, []string{"a", "b"}
	both[1].Crashed = []string{"a", "b"}
	book.Follow(0, both)
	if judged := book.Judge(DefaultTrialRest, sound, false); !judged.Condemned() {
		t.Errorf("after two such trials: got %+v, want condemned", judged)
	}
}

// TestOwedRequestsAreNeverCondemned checks that an owed request is known apart from a caller's request with the same
// content, and that no number of crashes makes it wait longer than its rest.
func TestOwedRequestsAreNeverCondemned(t *testing.T) {
	live, owed := Identity{Method: "POST", Path: "/x"}, Identity{Method: "POST", Path: "/x", Owed: true}
	if live.Digest() == owed.Digest() {
		t.Error("an owed request and a caller's request share their crashes")
	}
	book := NewBook(Settings{})
	for crashes := uint32(2); crashes < 100; crashes++ {
		book.Follow(0, []Record{{Digest: owed.Digest(), Crashes: crashes}})
		if judged := book.Judge(DefaultOwedRest, owed.Digest(), true); judged.Permission != Trial {
			t.Fatalf("after %d crashes: got %+v, want a trial after the rest", crashes, judged)
		}
		book = NewBook(Settings{})
	}
}

// TestStepsOnTheRecord checks that a crash that two processes observed counts once, that only one of several claims
// succeeds, and that a cleared suspect is free.
func TestStepsOnTheRecord(t *testing.T) {
	record := &recordTable{held: table.New()}
	step := func(want StepRequest, done bool, crashes uint32) {
		t.Helper()
		want.Digest, want.Subject = 0xabc, "GET a.example/x"
		planned := Plan(record.view(t), []StepRequest{want}, Settings{})
		if got := planned.Outcomes[0]; got.Done != done || got.Crashes != crashes || !record.apply(planned) {
			t.Fatalf("%s: got %+v, want done %t and %d crashes", want.Step, got, done, crashes)
		}
	}
	step(StepRequest{Step: Report, Instance: "a"}, true, 1)
	step(StepRequest{Step: Report, Instance: "a"}, true, 1)
	step(StepRequest{Step: Report, Instance: "b"}, true, 2)
	step(StepRequest{Step: Claim, Claim: "one", Basis: Basis{Crashes: 2}}, true, 3)
	step(StepRequest{Step: Claim, Claim: "one", Basis: Basis{Crashes: 2}}, true, 3) // its answer was lost
	step(StepRequest{Step: Claim, Claim: "two", Basis: Basis{Crashes: 2}}, false, 3)
	step(StepRequest{Step: Return, Claim: "one"}, true, 2)
	step(StepRequest{Step: Claim, Claim: "two", Basis: Basis{Crashes: 2}}, true, 3)
	step(StepRequest{Step: Report, Instance: "c", Claim: "two"}, true, 3)
	step(StepRequest{Step: Return, Claim: "two"}, false, 3)
	step(StepRequest{Step: Forget, Crashes: 2}, false, 3)
	records := Records(record.view(t))
	if len(records) != 1 || records[0].Digest != 0xabc || records[0].Crashes != 3 || fmt.Sprint(records[0].Crashed) != "[a b c]" {
		t.Fatalf("got records %+v, want one with 3 crashes of a, b and c", records)
	}
	step(StepRequest{Step: Clear}, true, 0)
	step(StepRequest{Step: Clear}, true, 0)
	step(StepRequest{Step: Claim, Claim: "three", Basis: Basis{Crashes: 3}}, true, 0)
	step(StepRequest{Step: Report, Instance: "d"}, true, 1)
}

// TestStaleClaimsConflict guards against two claimed runs at a time: two processes plan a claim on the same view, and
// the table must accept only one.
func TestStaleClaimsConflict(t *testing.T) {
	record := &recordTable{held: table.New()}
	for _, instance := range []string{"a", "b"} {
		record.apply(Plan(record.view(t), []StepRequest{{Step: Report, Digest: 1, Instance: instance}}, Settings{}))
	}
	view := record.view(t)
	first := Plan(view, []StepRequest{{Step: Claim, Digest: 1, Claim: "one", Basis: Basis{Crashes: 2}}}, Settings{})
	second := Plan(view, []StepRequest{{Step: Claim, Digest: 1, Claim: "two", Basis: Basis{Crashes: 2}}}, Settings{})
	if !record.apply(first) || record.apply(second) {
		t.Error("the table did not accept exactly the first of two claims")
	}
}

// TestLostClaimsPushNoCrashOffTheRecord guards against a record that forgets which back ends crashed, because the list
// has room for few entries and claims whose processes were lost fill it.
func TestLostClaimsPushNoCrashOffTheRecord(t *testing.T) {
	record := &recordTable{held: table.New()}
	step := func(want StepRequest) {
		t.Helper()
		want.Digest = 1
		planned := Plan(record.view(t), []StepRequest{want}, Settings{})
		if !planned.Outcomes[0].Done || !record.apply(planned) {
			t.Fatalf("%s: got %+v, want done and accepted", want.Step, planned.Outcomes[0])
		}
	}
	step(StepRequest{Step: Report, Instance: "a"})
	step(StepRequest{Step: Report, Instance: "b", Trial: true})
	basis := Basis{Crashes: 2}
	for number := range 2 * maximumCrashed {
		claim := fmt.Sprintf("lost-%d", number)
		step(StepRequest{Step: Claim, Claim: claim, Basis: basis})
		basis.Claims = append(basis.Claims, claim)
	}
	held := Records(record.view(t))[0]
	if fmt.Sprint(held.Crashed, held.Trials) != "[a b] [b]" || held.Crashes != 3 || len(held.Claims) != 1 {
		t.Errorf("got %+v, want both crashes, the trial, and the last claim", held)
	}
}

// TestRecordIsBounded reports a thousand different suspects with one crash each. The record must stay within its
// maximum and keep the suspect with two crashes.
func TestRecordIsBounded(t *testing.T) {
	record := &recordTable{held: table.New()}
	settings := Settings{Maximum: 8}
	for _, instance := range []string{"a", "b"} {
		record.apply(Plan(record.view(t), []StepRequest{{Step: Report, Digest: 1, Instance: instance}}, settings))
	}
	for number := range 1000 {
		planned := Plan(record.view(t), []StepRequest{{Step: Report, Digest: Digest(1000 + number), Instance: "x"}}, settings)
		if !planned.Outcomes[0].Done || !record.apply(planned) {
			t.Fatalf("request %d: got outcomes %+v, want the report done and its change accepted", number, planned.Outcomes)
		}
	}
	records := Records(record.view(t))
	if len(records) != settings.Maximum || records[0].Digest != 1 || records[0].Crashes != 2 {
		t.Errorf("%d on record, first %+v, want 8, the first with 2 crashes", len(records), records[0])
	}
}

// maximumTrials is how many trials may crash before a request is condemned.
const maximumTrials = 2

// TestGuiltyIsHeldAndBystandersAreCleared simulates processes that follow the record late and run requests at back
// ends. Some requests crash every back end that runs them; the others run beside them and are retried. For any order of
// crashes, reports, claims and restarts of processes, a request that crashes back ends must not run more often than
// permitted. A request that was answered completely after its last crash, by a process that knew of the crash, must be
// free in every process that has followed the record since.
func TestGuiltyIsHeldAndBystandersAreCleared(t *testing.T) {
	var trials, cleared int
	rapid.Check(t, func(t *rapid.T) {
		record := &recordTable{held: table.New()}
		settings := Settings{}
		books := []*Book{NewBook(settings), NewBook(settings), NewBook(settings)}
		now, starts := time.Duration(0), 0
		guilty := func(digest Digest) bool { return digest <= 2 }
		crashes, crashesSinceAnswer := map[Digest]int{}, map[Digest]int{}
		settle := func(book *Book, want StepRequest) Outcome {
			planned := Plan(record.view(t), []StepRequest{want}, settings)
			if !record.apply(planned) {
				t.Fatal("the table rejected a step planned on its newest version")
			}
			book.Follow(now, Records(record.view(t)))
			return planned.Outcomes[0]
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			which := rapid.IntRange(0, len(books)-1).Draw(t, "process")
			now += time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				books[which] = NewBook(settings) // the process restarts
				books[which].Follow(now, Records(record.view(t)))
			case 1, 2, 3:
				books[which].Follow(now, Records(record.view(t)))
			default:
				runOnce(t, books[which], now, &starts, guilty, crashes, crashesSinceAnswer, settle, &trials, &cleared)
			}
		}
		for digest, count := range crashes {
			// Each process may run a request once before it learns of a crash in another process. After that, trials
			// run one at a time. One trial crash may be shared with another suspect's and then is no proof; the next one is.
			if most := TrialCrashes + len(books) - 1 + maximumTrials; guilty(digest) && count > most {
				t.Fatalf("request %d crashed %d back ends, want at most %d", digest, count, most)
			}
		}
		for position, book := range books {
			book.Follow(now, Records(record.view(t)))
			for digest := Digest(3); digest <= 4; digest++ {
				if judged := book.Judge(now, digest, false); judged.Condemned() {
					t.Fatalf("process %d condemns request %d, which only ran beside crashes: %+v", position, digest, judged)
				}
			}
			for digest, since := range crashesSinceAnswer {
				if judged := book.Judge(now, digest, false); since == 0 && judged.Permission != Free {
					t.Fatalf("process %d restricts request %d, which was answered completely: %+v", position, digest, judged)
				}
			}
		}
	})
	if trials == 0 || cleared == 0 {
		t.Errorf("%d trials and %d cleared requests were simulated, want at least one each", trials, cleared)
	}
}

// runOnce simulates one run of a request and, at random, one of a bystander at the same back end if that crashes.
func runOnce(t *rapid.T, book *Book, now time.Duration, starts *int, guilty func(Digest) bool, crashes, crashesSinceAnswer map[Digest]int,
	settle func(*Book, StepRequest) Outcome, trials, cleared *int) {
	digest := Digest(rapid.IntRange(1, 4).Draw(t, "request"))
	judged := book.Judge(now, digest, false)
	claim := ""
	switch judged.Permission {
	case Blocked:
		return
	case Trial:
		*starts++
		claim = fmt.Sprintf("claim-%d", *starts)
		book.ClaimSent(now, digest, claim)
		if outcome := settle(book, StepRequest{Step: Claim, Digest: digest, Claim: claim, Basis: judged.Basis}); !outcome.Done {
			book.ClaimEnded(digest, claim)
			return
		}
		*trials++
	}
	defer book.ClaimEnded(digest, claim)
	if !guilty(digest) {
		if judged.Permission != Free { // a process that does not know of the crash does not clear the suspect
			settle(book, StepRequest{Step: Clear, Digest: digest})
			*cleared++
			crashesSinceAnswer[digest] = 0
		}
		return
	}
	*starts++
	instance := fmt.Sprintf("i-%d", *starts)
	crashes[digest]++
	book.Crashed(now, digest, Crash{Instance: instance, EndedAt: now, Counted: claim != ""})
	settle(book, StepRequest{Step: Report, Digest: digest, Instance: instance, Claim: claim, Trial: claim != ""})
	if rapid.Bool().Draw(t, "beside") {
		bystander := Digest(rapid.IntRange(3, 4).Draw(t, "bystander"))
		if book.Judge(now, bystander, false).Permission <= Isolated {
			crashesSinceAnswer[bystander]++
			settle(book, StepRequest{Step: Report, Digest: bystander, Instance: instance})
		}
	}
}

// TestOwedRequestsRestForOneRestAtMost simulates processes that learn of the record late, lose claims and reports, and
// restart, while back ends crash under an owed request, other trials of it are turned away, and it is cleared. Whatever
// happened before, every process must permit it once its rest has passed since the last crash, the last claim and the
// last restart, and the record has been followed.
func TestOwedRequestsRestForOneRestAtMost(t *testing.T) {
	const digest, lag = Digest(1), 200 * time.Millisecond
	var permitted int
	rapid.Check(t, func(t *rapid.T) {
		record := &recordTable{held: table.New()}
		settings := Settings{}
		books := []*Book{NewBook(settings), NewBook(settings)}
		now, calmSince, number := time.Hour, time.Hour, 0
		apply := func(want StepRequest) Outcome {
			want.Digest = digest
			planned := Plan(record.view(t), []StepRequest{want}, settings)
			if !record.apply(planned) {
				t.Fatal("the table rejected a step planned on its newest version")
			}
			return planned.Outcomes[0]
		}
		follow := func(book *Book) { book.Follow(now, Records(record.view(t))) }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			book := books[rapid.IntRange(0, len(books)-1).Draw(t, "process")]
			judged := book.Judge(now, digest, true)
			if judged.Permission == Blocked {
				if now >= calmSince+DefaultOwedRest+lag {
					t.Fatalf("%v after the last crash, claim or restart: got %+v, want permitted", now-calmSince, judged)
				}
				continue
			}
			permitted++
			claim := ""
			if judged.Permission == Trial {
				number++
				claim = fmt.Sprintf("claim-%d", number)
				book.ClaimSent(now, digest, claim)
				if rapid.IntRange(0, 3).Draw(t, "claim lost") > 0 { // otherwise it never reaches the control group
					apply(StepRequest{Step: Claim, Claim: claim, Basis: judged.Basis})
				}
				calmSince = now
			}
			reports := rapid.IntRange(0, 3).Draw(t, "report lost") > 0
			switch rapid.IntRange(0, 4).Draw(t, "ending") {
			case 0, 1:
				number++
				instance := fmt.Sprintf("i-%d", number)
				book.Crashed(now, digest, Crash{Instance: instance, EndedAt: now, Counted: claim != ""})
				calmSince = now
				if reports {
					apply(StepRequest{Step: Report, Instance: instance, Claim: claim})
					book.Recorded(now, digest, instance)
				}
			case 2, 3: // turned away
				if reports {
					apply(StepRequest{Step: Return, Claim: claim})
				}
			default:
				apply(StepRequest{Step: Clear})
			}
			book.ClaimEnded(digest, claim)
			now += lag
			for position := range books {
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					books[position] = NewBook(settings)
					calmSince = now
				}
				follow(books[position])
			}
		}
	})
	if permitted == 0 {
		t.Error("no run was permitted: nothing was checked")
	}
}

// TestFirstTrialNeedsNoRestInALargePool checks when an owed request is tried at once after two crashes: a pool that has
// lost a quarter of its replicas at most bears one more, and the request has had no trial yet.
func TestFirstTrialNeedsNoRestInALargePool(t *testing.T) {
	const digest = Digest(1)
	two := Record{Digest: digest, Crashes: 2, Crashed: []string{"a", "b"}}
	for _, test := range []struct {
		name     string
		record   Record
		observed string // a further crash under a claimed run of this process; empty: none
		replicas int
		want     Permission
	}{
		{name: "two of eight", record: two, replicas: 8, want: Trial},
		{name: "two of seven", record: two, replicas: 7, want: Blocked},
		{name: "pool not known", record: two, want: Blocked},
		{name: "three of a hundred", record: Record{Digest: digest, Crashes: 3, Crashed: []string{"a", "b", "c"}}, replicas: 100, want: Blocked},
		{name: "another process's trial", record: Record{Digest: digest, Crashes: 3, Crashed: []string{"a", "b"}, Claims: []string{"x"}}, replicas: 8, want: Blocked},
		{name: "after a crash under the first trial", record: two, observed: "c", replicas: 100, want: Blocked},
		{name: "condemned by an operator", record: Record{Digest: digest, Crashes: 2, Crashed: []string{"a", OperatorTrial}, Trials: []string{OperatorTrial}}, replicas: 8, want: Blocked},
	} {
		book := NewBook(Settings{})
		book.Follow(0, []Record{test.record})
		if test.observed != "" {
			book.Crashed(0, digest, Crash{Instance: test.observed, Counted: true})
		}
		if judged := book.JudgeOwed(time.Millisecond, digest, test.replicas); judged.Permission != test.want {
			t.Errorf("%s: got %+v, want %s", test.name, judged, test.want)
		}
	}
}
