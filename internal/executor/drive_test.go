package executor

import (
	"context"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// writtenReplica is a replica whose single answer consists of the parts that the test sends on the channel.
type writtenReplica chan string

func (w writtenReplica) Do(ctx context.Context, _ *replica.Call, sink replica.Sink) replica.Outcome {
	for {
		select {
		case part := <-w:
			if err := sink.Body([]byte(part)); err != nil {
				return replica.Outcome{Verdict: verdict.Ran, Err: err}
			}
		case <-ctx.Done():
			return replica.Outcome{Verdict: verdict.MayHaveRun, Err: ctx.Err()}
		}
	}
}

// newTestStream returns an accepted leader stream without a connection: the test plays the leader.
func newTestStream(t *testing.T, caller replica.Caller) *leaderStream {
	t.Helper()
	server, err := New(Config{Caller: caller, Admit: func(*wire.RunStart) bool { return true }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		server.cancelAll()
		server.routines.Wait()
	})
	f := newLeaderStream(server, nil)
	if welcome := f.handshake(&wire.RunHello{Term: 3, Number: 1, Protocol: Protocol}); !welcome.GetAccepted() {
		t.Fatal("the stream of the leader was rejected")
	}
	return f
}

func startOrder(number uint64) *wire.RunStart {
	return &wire.RunStart{Key: &wire.RunKey{Job: "job", Item: "item"}, Number: number, Item: &wire.JobItem{}}
}

// TestRefusedStartsHideNoRun: a second order to start a followed item is refused. The refusal must be reported, and so
// must the later progress of the run that is already followed.
func TestRefusedStartsHideNoRun(t *testing.T) {
	answer := make(writtenReplica)
	f := newTestStream(t, answer)
	f.start(startOrder(1))
	f.start(startOrder(2))
	refused := f.collectReport().GetEnded()
	if len(refused) != 1 || refused[0].GetOrder().GetNumber() != 2 || !refused[0].GetNotAdmitted() {
		t.Fatalf("ended: %v, want the second order only", refused)
	}
	if refusal := RefusalOf(refused[0]); refusal != Held {
		t.Errorf("refusal %s, want held", refusal)
	}
	answer <- "part"
	answer <- "" // returns only after the first part was taken
	progress := f.collectReport().GetProgress()
	if len(progress) != 1 || string(progress[0].GetData()) != "part" || progress[0].GetOrder().GetNumber() != 1 {
		t.Errorf("progress %v, want the part of the first order's run", progress)
	}
	if ended := f.collectReport().GetEnded(); len(ended) != 0 {
		t.Errorf("ended: %v, want none", ended)
	}
}

// TestRefusalsAreReportedByKind: a leader must distinguish a run that the executor's table or lease does not permit
// from one that the executor has no capacity for.
func TestRefusalsAreReportedByKind(t *testing.T) {
	for _, refusal := range []Refusal{Superseded, Held, Leaving, Full} {
		if reported := RefusalOf(encodeRefusal(someRun, someOrder, refusal)); reported != refusal {
			t.Errorf("refusal %s is reported as %s", refusal, reported)
		}
	}
	if reported := RefusalOf(EndOf(someRun, someOrder, &replica.Outcome{Err: ErrNotAdmitted})); reported != NotPermitted {
		t.Errorf("a run that is not permitted is reported as %s, want not_permitted", reported)
	}
	if reported := RefusalOf(EndOf(someRun, someOrder, &replica.Outcome{Complete: true})); reported != Accepted {
		t.Errorf("a run that ended is reported as %s, want accepted", reported)
	}
}

// TestLeadersOfAnotherProtocolAreRejected: orders of another protocol version identify runs differently, so that they
// must not be accepted, nor supersede the current leader.
func TestLeadersOfAnotherProtocolAreRejected(t *testing.T) {
	f := newTestStream(t, make(writtenReplica))
	for _, protocol := range []uint32{0, 1, Protocol + 1} {
		welcome := f.handshake(&wire.RunHello{Term: 9, Number: 1, Protocol: protocol})
		if welcome.GetAccepted() || welcome.GetProtocol() != Protocol {
			t.Errorf("protocol %d: welcome %v, want a rejection that names the own protocol", protocol, welcome)
		}
	}
	if refusal := f.server.begin(f.number, startOrder(1)); refusal != Accepted {
		t.Errorf("the rejected leader superseded the current one: start gives %s, want accepted", refusal)
	}
}

// TestLoadReportsAreReportedOnce: the load report that a replica sends with the head of an answer must be reported
// once, unchanged and with its age.
func TestLoadReportsAreReportedOnce(t *testing.T) {
	now := time.Second
	sent := loadreport.Report{Running: 3, Waiting: 2, Slots: 4, Pace: 2.5}
	buffered := &answer{maxBytes: 100, clock: func() time.Duration { return now }}
	if err := buffered.Head(replica.Head{Status: 200, Stream: true, Load: &sent}); err != nil {
		t.Fatal(err)
	}
	now += 150 * time.Millisecond
	progress, _ := buffered.progressSince(0, false)
	load, age := LoadOf(progress.GetHead().GetLoad())
	if load == nil || *load != sent || age != 150*time.Millisecond {
		t.Errorf("reported load %v with age %v", load, age)
	}
	if again, _ := buffered.progressSince(0, true); again != nil {
		t.Errorf("reported twice: %v", again)
	}
	refused := OutcomeOf(EndOf(someRun, someOrder, &replica.Outcome{Verdict: verdict.DidNotRun, Refused: replica.RefusedFull, Load: &sent}))
	if refused.Load == nil || *refused.Load != sent {
		t.Errorf("load of a refused run: %v", refused.Load)
	}
	if silent := OutcomeOf(EndOf(someRun, someOrder, &replica.Outcome{})); silent.Load != nil {
		t.Errorf("load %v of a replica that reported none", silent.Load)
	}
}

// TestSupersededStreamsEnd: a superseded stream must be ended as a whole instead of refusing each of its orders, and a
// late hello with an older stream number must not supersede the newest stream.
func TestSupersededStreamsEnd(t *testing.T) {
	former := newTestStream(t, make(writtenReplica))
	next := newLeaderStream(former.server, nil)
	if welcome := next.handshake(&wire.RunHello{Term: 3, Number: 2, Protocol: Protocol}); !welcome.GetAccepted() {
		t.Fatal("the newer stream was rejected")
	}
	select {
	case <-former.superseded:
	default:
		t.Error("the older stream was not superseded")
	}
	late := newLeaderStream(former.server, nil)
	if welcome := late.handshake(&wire.RunHello{Term: 3, Number: 1, Protocol: Protocol}); welcome.GetAccepted() {
		t.Error("a late hello of an older stream was accepted")
	}
	select {
	case <-next.superseded:
		t.Error("a late hello of an older stream superseded the newest stream")
	default:
	}
}
