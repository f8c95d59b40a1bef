package state

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/claim"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func tableCommand(id string, base uint64, cells ...string) *wire.Command {
	change := &wire.TableChange{ChangeId: id, BaseVersion: base, Operator: "tester"}
	for _, text := range cells {
		parts := strings.SplitN(text, " ", 3)
		change.Cells = append(change.Cells, &wire.CellChange{Row: parts[0], Column: parts[1], Value: parts[2]})
	}
	return &wire.Command{Kind: &wire.Command_TableChange{TableChange: change}}
}

// exampleCommands returns valid commands for every component of the machine.
func exampleCommands() []*wire.Command {
	return []*wire.Command{
		tableCommand("a", 0, "chat kind pool", "chat max_in_flight 8"),
		tableCommand("b", 1, "chat-1 kind backend", "chat-1 pool chat", "chat-1 address 10.0.0.1:80"),
		{Kind: &wire.Command_MemberUpdate{MemberUpdate: &wire.MemberUpdate{Member: &wire.Member{
			Name: "g1", Incarnation: 1, Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Address: "10.0.0.9:1",
			State: wire.MemberState_MEMBER_STATE_ALIVE}}}},
		{Kind: &wire.Command_FenceAcquire{FenceAcquire: &wire.FenceAcquire{Resource: "trainer/t", Owner: "c1", RequestId: "r1"}}},
		{Kind: &wire.Command_FenceAcquire{FenceAcquire: &wire.FenceAcquire{Resource: "pool/chat", Owner: "c1", RequestId: "r2"}}},
		{Kind: &wire.Command_VersionRelease{VersionRelease: &wire.VersionRelease{Pool: "chat", Version: "t-v1", VersionNumber: 1, Trainer: "t", Fence: 1}}},
		{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{Key: "k", Owner: "g1/1", Attempt: "a1", NowUnixMillis: 5000}}},
		{Kind: &wire.Command_ClaimFinish{ClaimFinish: &wire.ClaimFinish{Key: "k", Attempt: "a1",
			Outcome: wire.ClaimState_CLAIM_STATE_DONE, Answer: &wire.Answer{Status: 200, Body: []byte("ok")}, NowUnixMillis: 6000}}},
		{Kind: &wire.Command_StepOpen{StepOpen: &wire.StepOpen{Trainer: "t", Step: 1, SamplesPerPrompt: 1,
			Prompts: []*wire.Prompt{{Id: "p/0", Text: "hello", MaxTokens: 4}}}}},
		{Kind: &wire.Command_SampleStore{SampleStore: &wire.SampleStore{Fence: 1, Sample: &wire.Sample{
			Id: "t/1/p/0/0", Trainer: "t", Step: 1, PromptId: "p/0", Text: "x"}}}},
		{Kind: &wire.Command_BatchSeal{BatchSeal: &wire.BatchSeal{Trainer: "t", Cursor: 1, Step: 1, SampleIds: []string{"t/1/p/0/0"}, Fence: 1}}},
		{Kind: &wire.Command_BatchAcknowledge{BatchAcknowledge: &wire.BatchAcknowledge{Trainer: "t", Cursor: 1}}},
		{Kind: &wire.Command_JobSubmit{JobSubmit: &wire.JobSubmit{Id: "j", Digest: []byte{1}, SentUnixMillis: 5000,
			Items: []*wire.JobItem{{Id: "i1", Body: []byte("a")}, {Id: "i2"}}}}},
		{Kind: &wire.Command_JobStore{JobStore: &wire.JobStore{Jobs: []*wire.JobResults{{Job: "j",
			Results: []*wire.JobResult{{Item: "i1", State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED, Text: []byte("t"), Versions: []uint64{1}}}}}}}},
		{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: "j"}}},
		{Kind: &wire.Command_JobExpire{JobExpire: &wire.JobExpire{RetentionMillis: 60_000, ElapsedMillis: 4000}}},
	}
}

func TestMachineExample(t *testing.T) {
	machine := New()
	for position, command := range exampleCommands() {
		result := machine.Apply(uint64(position+1), command)
		if result.GetInvalid() != "" {
			t.Fatalf("command %d got %v, want a valid result", position, result)
		}
	}
	if machine.TableVersion() != 2 {
		t.Fatalf("table version %d, want 2", machine.TableVersion())
	}
	fence := mustQuery(t, machine, &wire.Query{Kind: &wire.Query_Fence{Fence: &wire.FenceQuery{Resource: "nobody's"}}}).GetFence()
	if fence == nil || fence.GetToken() != 0 {
		t.Fatalf("fence of an unused resource is %v, want token 0", fence)
	}
	versions := mustQuery(t, machine, &wire.Query{Kind: &wire.Query_Versions{Versions: &wire.VersionsQuery{Pool: "chat"}}}).GetVersions()
	if len(versions.GetVersions()) != 1 || versions.GetVersions()[0].GetVersion() != "t-v1" {
		t.Fatalf("weight versions %v, want t-v1 only", versions)
	}
	claim := mustQuery(t, machine, &wire.Query{Kind: &wire.Query_Claim{Claim: &wire.ClaimQuery{Key: "k"}}}).GetClaim()
	if claim.GetState() != wire.ClaimState_CLAIM_STATE_DONE || string(claim.GetAnswer().GetBody()) != "ok" {
		t.Fatalf("claim %v, want DONE with answer ok", claim)
	}
	trainer := mustQuery(t, machine, &wire.Query{Kind: &wire.Query_Trainer{Trainer: &wire.TrainerQuery{Trainer: "t"}}}).GetTrainer()
	if trainer.GetDeliveredSamples() != 1 || trainer.GetAcknowledgedCursor() != 1 || len(trainer.GetSteps()) != 0 {
		t.Fatalf("trainer %v, want one delivered sample, cursor 1 acknowledged and no open step", trainer)
	}
	results := mustQuery(t, machine, &wire.Query{Kind: &wire.Query_JobResults{JobResults: &wire.JobResultsQuery{Job: "j"}}}).GetJobResults()
	if results.GetTotal() != 2 || results.GetNext() != 1 || string(results.GetResults()[0].GetText()) != "t" {
		t.Fatalf("job results %v, want a total of 2 and text t of the first", results)
	}
	before, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(before); err != nil {
		t.Fatal(err)
	}
	after, err := restored.Snapshot()
	if err != nil || !bytes.Equal(before, after) {
		t.Fatalf("the snapshot after a restore differs from the original (error %v)", err)
	}
}

func TestMachineRejectsInvalidCommandsAndSnapshots(t *testing.T) {
	machine := New()
	if machine.Apply(1, &wire.Command{}).GetInvalid() == "" || machine.Apply(2, nil).GetInvalid() == "" {
		t.Fatal("a command without a kind was accepted")
	}
	if machine.Apply(2, tableCommand("a", 0, "chat kind pool")).GetInvalid() == "" {
		t.Fatal("an index was applied twice")
	}
	if err := machine.Restore([]byte("not a snapshot")); err == nil {
		t.Fatal("data that is not a snapshot was restored")
	}
	if err := machine.Restore(nil); err == nil {
		t.Fatal("an empty snapshot was restored")
	}
}

// TestRestoreIsInvisible guards against replicas that diverge after a restore. It applies random commands to two
// machines, one of which is restored from its own snapshot at random points. Results and snapshots must stay equal.
func TestRestoreIsInvisible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := []*Machine{New(), New()}
		for index := range rapid.IntRange(1, 60).Draw(t, "commands") {
			command := drawCommand(t, index)
			first := machines[0].Apply(uint64(index+1), proto.CloneOf(command))
			second := machines[1].Apply(uint64(index+1), proto.CloneOf(command))
			if !proto.Equal(first, second) {
				t.Fatalf("%v: got %v, on the restored machine %v, want equal results", command, first, second)
			}
			if rapid.IntRange(0, 3).Draw(t, "restore") > 0 {
				continue
			}
			data, err := machines[0].Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			other, err := machines[1].Snapshot()
			if err != nil || !bytes.Equal(data, other) {
				t.Fatalf("the snapshots of equal machines differ (error %v)", err)
			}
			machines[1] = New()
			if err := machines[1].Restore(other); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// drawCommand draws a command that is likely to concern the same keys and rows as earlier ones.
func drawCommand(t *rapid.T, index int) *wire.Command {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	attempt := fmt.Sprint("a", rapid.IntRange(max(0, index-9), index).Draw(t, "attempt"))
	now := int64(index) * 700
	sample := &wire.Sample{Id: "t/1/p/0/0", Trainer: "t", Step: 1, PromptId: "p/0", Edition: uint32(rapid.IntRange(0, 2).Draw(t, "edition"))}
	commands := append(exampleCommands(),
		tableCommand(attempt, uint64(rapid.IntRange(0, index).Draw(t, "base")), "chat weight "+fmt.Sprint(index), "x"+attempt+" kind pool"),
		&wire.Command{Kind: &wire.Command_TableChange{TableChange: &wire.TableChange{ChangeId: "r" + attempt, BaseVersion: uint64(index), RemoveRows: []string{"x" + attempt}}}},
		&wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{Key: key, Owner: "o", Attempt: attempt, Ticket: uint64(index), NowUnixMillis: now}}},
		&wire.Command{Kind: &wire.Command_ClaimFinish{ClaimFinish: &wire.ClaimFinish{Key: key, Attempt: attempt, Outcome: wire.ClaimState_CLAIM_STATE_DONE, NowUnixMillis: now}}},
		&wire.Command{Kind: &wire.Command_ClaimRelease{ClaimRelease: &wire.ClaimRelease{Key: key, Attempt: attempt, NowUnixMillis: now}}},
		&wire.Command{Kind: &wire.Command_ClaimRefuse{ClaimRefuse: &wire.ClaimRefuse{Key: key, Attempt: attempt, NowUnixMillis: now}}},
		&wire.Command{Kind: &wire.Command_ClaimOrphan{ClaimOrphan: &wire.ClaimOrphan{Owner: "o"}}},
		&wire.Command{Kind: &wire.Command_ClaimExpire{ClaimExpire: claim.Retention{Answers: 3e9, Keys: 6e9, Attempts: 2e9}.Command(now)}},
		&wire.Command{Kind: &wire.Command_JobSubmit{JobSubmit: &wire.JobSubmit{Id: key, Digest: []byte{1}, SentUnixMillis: now,
			Items: []*wire.JobItem{{Id: "i1", Body: []byte("a")}, {Id: "i2"}}}}},
		&wire.Command{Kind: &wire.Command_JobStore{JobStore: &wire.JobStore{Jobs: []*wire.JobResults{{Job: key,
			Results: []*wire.JobResult{{Item: "i2", State: wire.JobItemState_JOB_ITEM_STATE_TERMINATED}}}}}}},
		&wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: key}}},
		&wire.Command{Kind: &wire.Command_JobExpire{JobExpire: &wire.JobExpire{ElapsedMillis: 4000, RetentionMillis: 9000}}},
		&wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: &wire.FenceAcquire{Resource: key, Owner: "o", RequestId: attempt}}},
		&wire.Command{Kind: &wire.Command_SampleStore{SampleStore: &wire.SampleStore{Sample: sample, Fence: uint64(index)}}},
		&wire.Command{Kind: &wire.Command_BatchDiscard{BatchDiscard: &wire.BatchDiscard{Trainer: "t", SampleIds: []string{sample.GetId()}, DiscardedTokens: 3, Fence: uint64(index)}}},
	)
	return rapid.SampledFrom(commands).Draw(t, "command")
}

func TestInvalidSnapshotLeavesStateUnchanged(t *testing.T) {
	machine := New()
	machine.Apply(1, exampleCommands()[0])
	for _, snapshot := range []*wire.MachineSnapshot{
		{Format: SnapshotFormat + 1},
		{Format: 1, Claims: &wire.ClaimSnapshot{Records: []*wire.ClaimRecord{{}}}},
		{Format: 1, Ledger: &wire.LedgerSnapshot{Trainers: []*wire.TrainerRecord{{Name: "a/b"}}}},
	} {
		data, err := proto.Marshal(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		if err := machine.Restore(data); err == nil || machine.TableVersion() != 1 || machine.AppliedIndex() != 1 {
			t.Fatalf("%v: error %v, table version %d; want an error and version 1 at index 1", snapshot, err, machine.TableVersion())
		}
	}
}

func TestLedgerGroupsCoverAllGroups(t *testing.T) {
	seen := map[uint32]bool{}
	for key := range 200 {
		group := LedgerGroup(fmt.Sprint(key), 5)
		if group < 1 || group > 5 || group != LedgerGroup(fmt.Sprint(key), 5) {
			t.Fatalf("group %d is outside 1 to 5, or differs in a second call", group)
		}
		seen[group] = true
	}
	if len(seen) != 5 || LedgerGroup("x", 0) != 1 {
		t.Fatal("200 keys do not cover all 5 groups, or there is no default group 1")
	}
}

// decodeAndEncode decodes an encoded state in one piece, as builds from before parts do, and encodes it again.
func decodeAndEncode(t interface{ Fatal(...any) }, parts statepart.Parts) []byte {
	encoded, err := parts.Join()
	if err != nil {
		t.Fatal(err)
	}
	whole := &wire.MachineSnapshot{}
	if err := proto.Unmarshal(encoded, whole); err != nil {
		t.Fatal(err)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(whole)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestCaptureIsUnaffectedByLaterCommands guards against a captured state that changes when the machine modifies a
// message that it shares. It encodes captured states after further commands and compares them with snapshots of that
// time.
func TestCaptureIsUnaffectedByLaterCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := New()
		var encoders []func() (statepart.Parts, error)
		var wanted [][]byte
		for index := range rapid.IntRange(1, 60).Draw(t, "commands") {
			machine.Apply(uint64(index+1), proto.CloneOf(drawCommand(t, index)))
			data, err := machine.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			wanted, encoders = append(wanted, data), append(encoders, machine.Capture())
		}
		for position, encode := range encoders {
			parts, err := encode()
			if err != nil {
				t.Fatal(err)
			}
			if data := decodeAndEncode(t, parts); !bytes.Equal(data, wanted[position]) {
				t.Fatalf("the state captured after command %d changed with later commands", position+1)
			}
			restored := New()
			if err := restored.RestoreParts(parts); err != nil {
				t.Fatal(err)
			}
			if data, err := restored.Snapshot(); err != nil || !bytes.Equal(data, wanted[position]) {
				t.Fatalf("the state captured after command %d differs after a restore (error %v)", position+1, err)
			}
		}
	})
}

// BenchmarkCapture measures the time for which capturing a snapshot blocks commands, and the time including its
// encoding.
func BenchmarkCapture(b *testing.B) {
	machine := New()
	for index := range 200_000 {
		key := fmt.Sprintf("push/customer-%d", index)
		begin := &wire.ClaimBegin{Key: key, Owner: "g", Attempt: "a", NowUnixMillis: 1}
		machine.Apply(uint64(2*index+1), &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: begin}})
		finish := &wire.ClaimFinish{Key: key, Attempt: "a", Outcome: wire.ClaimState_CLAIM_STATE_DONE, NowUnixMillis: 2,
			Answer: &wire.Answer{Status: 200, Body: make([]byte, 120)}}
		machine.Apply(uint64(2*index+2), &wire.Command{Kind: &wire.Command_ClaimFinish{ClaimFinish: finish}})
	}
	b.Run("capture", func(b *testing.B) {
		for b.Loop() {
			machine.Capture()
		}
	})
	b.Run("capture and encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := machine.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// mustQuery answers a query and fails the test if the answer can't be read.
func mustQuery(t *testing.T, machine *Machine, query *wire.Query) *wire.View {
	t.Helper()
	view, err := machine.Query(query)
	if err != nil {
		t.Fatal(err)
	}
	return view
}
