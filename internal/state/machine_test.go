package state

import (
	"bytes"
	"strings"
	"testing"

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

// exampleCommands touches every part of the machine.
func exampleCommands() []*wire.Command {
	return []*wire.Command{
		tableCommand("a", 0, "chat kind pool", "chat max_in_flight 8"),
		tableCommand("b", 1, "chat-1 kind backend", "chat-1 pool chat", "chat-1 address 10.0.0.1:80"),
		{Kind: &wire.Command_MemberUpdate{MemberUpdate: &wire.MemberUpdate{Member: &wire.Member{
			Name: "g1", Incarnation: 1, Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Address: "10.0.0.9:1",
			State: wire.MemberState_MEMBER_STATE_ALIVE}}}},
		{Kind: &wire.Command_FenceAcquire{FenceAcquire: &wire.FenceAcquire{Resource: "trainer/t", Owner: "c1", RequestId: "r1"}}},
		{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{Key: "k", Owner: "g1/1", Attempt: "a1", NowUnixMillis: 5000}}},
		{Kind: &wire.Command_ClaimFinish{ClaimFinish: &wire.ClaimFinish{Key: "k", Attempt: "a1",
			Outcome: wire.ClaimState_CLAIM_STATE_DONE, Answer: &wire.Answer{Status: 200, Body: []byte("ok")}, NowUnixMillis: 6000}}},
		{Kind: &wire.Command_StepOpen{StepOpen: &wire.StepOpen{Trainer: "t", Step: 1, SamplesPerPrompt: 1,
			Prompts: []*wire.Prompt{{Id: "p/0", Text: "hello", MaxTokens: 4}}}}},
		{Kind: &wire.Command_SampleStore{SampleStore: &wire.SampleStore{Fence: 1, Sample: &wire.Sample{
			Id: "t/1/p/0/0", Trainer: "t", Step: 1, PromptId: "p/0", Text: "x"}}}},
		{Kind: &wire.Command_BatchSeal{BatchSeal: &wire.BatchSeal{Trainer: "t", Cursor: 1, Step: 1, SampleIds: []string{"t/1/p/0/0"}, Fence: 1}}},
		{Kind: &wire.Command_BatchAcknowledge{BatchAcknowledge: &wire.BatchAcknowledge{Trainer: "t", Cursor: 1}}},
	}
}

func TestMachineExample(t *testing.T) {
	machine := New()
	for position, command := range exampleCommands() {
		result := machine.Apply(uint64(position+1), command)
		if result.GetInvalid() != "" {
			t.Fatalf("command %d: %v", position, result)
		}
	}
	if machine.TableVersion() != 2 {
		t.Fatalf("table version %d", machine.TableVersion())
	}
	claim := machine.Query(&wire.Query{Kind: &wire.Query_Claim{Claim: &wire.ClaimQuery{Key: "k"}}}).GetClaim()
	if claim.GetState() != wire.ClaimState_CLAIM_STATE_DONE || string(claim.GetAnswer().GetBody()) != "ok" {
		t.Fatalf("claim %v", claim)
	}
	trainer := machine.Query(&wire.Query{Kind: &wire.Query_Trainer{Trainer: &wire.TrainerQuery{Trainer: "t"}}}).GetTrainer()
	if trainer.GetDeliveredSamples() != 1 || trainer.GetAcknowledgedCursor() != 1 || len(trainer.GetSteps()) != 0 {
		t.Fatalf("trainer %v", trainer)
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
		t.Fatalf("snapshot of a restored machine differs (%v)", err)
	}
}

func TestMachineRefusesWhatItDoesNotKnow(t *testing.T) {
	machine := New()
	if machine.Apply(1, &wire.Command{}).GetInvalid() == "" || machine.Apply(2, nil).GetInvalid() == "" {
		t.Fatal("a command without a kind was taken")
	}
	if machine.Apply(2, tableCommand("a", 0, "chat kind pool")).GetInvalid() == "" {
		t.Fatal("an index was applied twice")
	}
	if err := machine.Restore([]byte("not a snapshot")); err == nil {
		t.Fatal("garbage was restored")
	}
	if err := machine.Restore(nil); err == nil {
		t.Fatal("nothing was restored")
	}
}
