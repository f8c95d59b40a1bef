package capacity

import (
	"context"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// The fitted quantities of samples in the ledger: each is stored, sealed in a batch and acknowledged.
// Values are of all control nodes together; sizes are samples.
const (
	SampleCores  = "samples: processor time of the control nodes"
	SampleBytes  = "samples: traffic of the control nodes"
	SampleDisk   = "samples: disk writes of the control nodes"
	SampleMemory = "samples: live memory of the control nodes while held"
)

const (
	sampleTrainers = 4
	// sampleText is the size of a measured sample: 476 tokens, the target's tokens over its requests, of
	// eight bytes each.
	sampleText       = 476 * 8
	samplesPerPrompt = 8
	sealSize         = 256
	sampleFence      = 1
)

// sampleSizes are the measured steps, in samples for each of the trainers.
func sampleSizes() []int { return []int{512, 1024, 1536, 2048} }

func (r *run) samples(ctx context.Context, folder string) error {
	group, err := startLedgerGroup(folder)
	if err != nil {
		return err
	}
	defer group.close()
	result := &Ledger{Nodes: controlNodes, Groups: ledgerGroups}
	for index, size := range sampleSizes() {
		point, err := sampleStep(ctx, group, uint64(index+1), size)
		if err != nil {
			return err
		}
		result.Points = append(result.Points, point)
	}
	count := func(p LedgerPoint) float64 { return float64(p.Count) }
	for _, quantity := range []struct {
		name, unit string
		value      func(LedgerPoint) float64
	}{
		{SampleCores, "s", func(p LedgerPoint) float64 { return p.ControlCores * p.Seconds }},
		{SampleBytes, "bytes", func(p LedgerPoint) float64 { return p.ControlBytes }},
		{SampleDisk, "bytes", func(p LedgerPoint) float64 { return p.DiskBytes }},
		{SampleMemory, "bytes", func(p LedgerPoint) float64 { return float64(p.LiveBytes) }},
	} {
		line, err := fitPoints(quantity.name, quantity.unit, "sample", result.Points, count, quantity.value)
		if err != nil {
			return err
		}
		result.Lines = append(result.Lines, line)
	}
	r.report.Samples = result
	return nil
}

// sampleStep stores one step of every trainer, measured, then delivers it.
func sampleStep(ctx context.Context, group *ledgerGroup, step uint64, size int) (LedgerPoint, error) {
	for trainer := range sampleTrainers {
		if err := sampleCommand(ctx, group, trainerName(trainer), stepOpen(trainer, step, size)); err != nil {
			return LedgerPoint{}, err
		}
	}
	point, err := group.load(ctx, sampleTrainers*size, 0, func(ctx context.Context, n int) error {
		trainer := n % sampleTrainers
		return sampleCommand(ctx, group, trainerName(trainer), sampleStore(trainer, step, n/sampleTrainers))
	})
	if err != nil || point.Failures > 0 {
		return point, trace.NewAggregate(err, failed(point.Failures))
	}
	delivery, err := group.load(ctx, sampleTrainers, 0, func(ctx context.Context, trainer int) error {
		return deliver(ctx, group, trainer, step, size)
	})
	point.Seconds += delivery.Seconds
	point.ControlCores = (point.ControlCores*(point.Seconds-delivery.Seconds) + delivery.ControlCores*delivery.Seconds) / point.Seconds
	point.ControlBytes += delivery.ControlBytes
	point.DiskBytes += delivery.DiskBytes
	return point, trace.NewAggregate(err, failed(delivery.Failures))
}

func failed(count int) error {
	if count == 0 {
		return nil
	}
	return trace.CompareFailed("%d commands failed", count)
}

// deliver seals and acknowledges a trainer's whole step, batch by batch.
func deliver(ctx context.Context, group *ledgerGroup, trainer int, step uint64, size int) error {
	var ids []string
	for index := range size {
		ids = append(ids, slotID(trainer, step, index).String())
	}
	earlier := 0
	for _, done := range sampleSizes()[:step-1] {
		earlier += (done + sealSize - 1) / sealSize
	}
	for batch := 0; batch*sealSize < size; batch++ {
		cursor := uint64(earlier + batch + 1)
		sealed := ids[batch*sealSize : min((batch+1)*sealSize, size)]
		commands := []*wire.Command{
			{Kind: &wire.Command_BatchSeal{BatchSeal: &wire.BatchSeal{Trainer: trainerName(trainer), Cursor: cursor, SampleIds: sealed, Step: step, Fence: sampleFence}}},
			{Kind: &wire.Command_BatchAcknowledge{BatchAcknowledge: &wire.BatchAcknowledge{Trainer: trainerName(trainer), Cursor: cursor}}},
		}
		for _, command := range commands {
			if err := sampleCommand(ctx, group, trainerName(trainer), command); err != nil {
				return err
			}
		}
	}
	return nil
}

func sampleCommand(ctx context.Context, group *ledgerGroup, trainer string, command *wire.Command) error {
	result, err := group.execute(ctx, trainer, command)
	if err != nil {
		return err
	}
	if !result.GetSample().GetAccepted() {
		return trace.CompareFailed("refused: %s", result.GetSample().GetReason())
	}
	return nil
}

func trainerName(trainer int) string { return fmt.Sprint("trainer-", trainer) }

func promptID(index int) string { return fmt.Sprint("prompt-", index/samplesPerPrompt) }

func slotID(trainer int, step uint64, index int) ledger.SlotID {
	return ledger.SlotID{Trainer: trainerName(trainer), Step: step, Prompt: promptID(index), Index: uint32(index % samplesPerPrompt)}
}

func stepOpen(trainer int, step uint64, size int) *wire.Command {
	open := &wire.StepOpen{Trainer: trainerName(trainer), Step: step, SamplesPerPrompt: samplesPerPrompt, Pool: "pool"}
	for index := 0; index < size; index += samplesPerPrompt {
		open.Prompts = append(open.Prompts, &wire.Prompt{Id: promptID(index), Text: strings.Repeat("prompt ", 32), MaxTokens: 1024})
	}
	return &wire.Command{Kind: &wire.Command_StepOpen{StepOpen: open}}
}

func sampleStore(trainer int, step uint64, index int) *wire.Command {
	id := slotID(trainer, step, index)
	return &wire.Command{Kind: &wire.Command_SampleStore{SampleStore: &wire.SampleStore{Owner: "coordinator-1#1", Fence: sampleFence,
		Sample: &wire.Sample{Id: id.String(), Trainer: id.Trainer, Step: step, PromptId: id.Prompt, Index: id.Index,
			Text: strings.Repeat("tokens. ", sampleText/8), Score: 1,
			Segments: []*wire.Segment{{WeightVersion: "w1", VersionNumber: 1, TokenCount: sampleText / 8, Replica: "replica-001"}}}}}}
}
