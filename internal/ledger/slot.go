package ledger

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// SlotID identifies one sample slot. Its text form, trainer/step/prompt/index, is the sample's id. A trainer's name
// contains no slash, but a prompt id may.
type SlotID struct {
	Trainer string
	Step    uint64
	Prompt  string // id of the prompt
	Index   uint32 // of the sample among those of the prompt, from 0
}

// String returns the text form.
func (s SlotID) String() string {
	return s.Trainer + "/" + strconv.FormatUint(s.Step, 10) + "/" + s.Prompt + "/" + strconv.FormatUint(uint64(s.Index), 10)
}

// ParseSlotID parses the text form. It fails if the text is not the canonical form of an id.
func ParseSlotID(text string) (SlotID, error) {
	trainerName, rest, hasTrainer := strings.Cut(text, "/")
	stepText, rest, hasStep := strings.Cut(rest, "/")
	last := strings.LastIndexByte(rest, '/')
	if !hasTrainer || !hasStep || last <= 0 || trainerName == "" {
		return SlotID{}, trace.BadParameter("sample id %q is not trainer/step/prompt/index", text)
	}
	number, err := strconv.ParseUint(stepText, 10, 64)
	if err != nil {
		return SlotID{}, trace.BadParameter("sample id %q has no step number", text)
	}
	index, err := strconv.ParseUint(rest[last+1:], 10, 32)
	if err != nil {
		return SlotID{}, trace.BadParameter("sample id %q has no index", text)
	}
	id := SlotID{Trainer: trainerName, Step: number, Prompt: rest[:last], Index: uint32(index)}
	if id.String() != text {
		return SlotID{}, trace.BadParameter("sample id %q is not in its shortest form", text)
	}
	return id, nil
}

// checkStepOpen validates the content of a step.
func checkStepOpen(command *wire.StepOpen) error {
	if err := checkTrainerName(command.GetTrainer()); err != nil {
		return err
	}
	slots := uint64(len(command.GetPrompts())) * uint64(command.GetSamplesPerPrompt())
	if slots == 0 || slots > MaximumSlots {
		return trace.BadParameter("a step has 1 to %d samples, not %d", MaximumSlots, slots)
	}
	seen := make(map[string]bool, len(command.GetPrompts()))
	for _, prompt := range command.GetPrompts() {
		switch id := prompt.GetId(); {
		case id == "" || len(id) > MaximumTextBytes:
			return trace.BadParameter("a prompt id has 1 to %d bytes", MaximumTextBytes)
		case seen[id]:
			return trace.BadParameter("prompt id %q stands twice", id)
		case len(prompt.GetText()) > MaximumSampleBytes:
			return trace.BadParameter("prompt %q is longer than %d bytes", id, MaximumSampleBytes)
		default:
			seen[id] = true
		}
	}
	return nil
}

// checkTrainerName validates a trainer's name, which must not contain the separator of a SlotID's text form.
func checkTrainerName(name string) error {
	if name == "" || len(name) > MaximumTextBytes || strings.Contains(name, "/") {
		return trace.BadParameter("a trainer's name has 1 to %d bytes and no slash", MaximumTextBytes)
	}
	return nil
}

// digestStep returns a digest of a step's content: pool, samples per prompt and prompts.
func digestStep(open *wire.StepOpen) uint64 {
	digest := xxhash.New()
	var buffer [8]byte
	writeNumber := func(value uint64) {
		binary.LittleEndian.PutUint64(buffer[:], value)
		_, _ = digest.Write(buffer[:])
	}
	writeText := func(text string) {
		writeNumber(uint64(len(text)))
		_, _ = digest.WriteString(text)
	}
	writeText(open.GetPool())
	writeNumber(uint64(open.GetSamplesPerPrompt()))
	for _, prompt := range open.GetPrompts() {
		writeText(prompt.GetId())
		writeText(prompt.GetText())
		writeNumber(uint64(prompt.GetMaxTokens()))
	}
	return digest.Sum64()
}
