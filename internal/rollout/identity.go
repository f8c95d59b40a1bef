package rollout

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// SampleID identifies a slot of a step. Exactly one sample is delivered for each slot.
type SampleID struct {
	Trainer string // must not contain a slash
	Step    uint64
	Prompt  string // must not contain a slash
	Index   uint32 // position within the group of the prompt, from 0
}

// String returns the ID as trainer/step/prompt/index.
func (id SampleID) String() string {
	return fmt.Sprintf("%s/%d/%s/%d", id.Trainer, id.Step, id.Prompt, id.Index)
}

// ParseSampleID parses the output of SampleID.String. It returns trace.BadParameter if the text has another form.
func ParseSampleID(text string) (SampleID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return SampleID{}, trace.BadParameter("sample id %q is not trainer/step/prompt/index", text)
	}
	step, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return SampleID{}, trace.BadParameter("sample id %q has no step number", text)
	}
	index, err := strconv.ParseUint(parts[3], 10, 32)
	if err != nil {
		return SampleID{}, trace.BadParameter("sample id %q has no index", text)
	}
	return SampleID{Trainer: parts[0], Step: step, Prompt: parts[2], Index: uint32(index)}, nil
}

// Prompt is a prompt of a step.
type Prompt struct {
	ID        string
	MaxTokens int // upper limit of the sample length in tokens; 0 if unknown
}

// Step is the demand of one training step for samples.
type Step struct {
	Trainer          string
	Number           uint64
	Prompts          []Prompt
	SamplesPerPrompt int
}

// Start is an instruction to generate a sample now.
type Start struct {
	ID      SampleID
	Edition uint32
	// PrefixTokens is the number of tokens kept from earlier attempts. Generation starts from the prompt if it is 0.
	PrefixTokens int
	// PredictedTokens is the expected total length, used to choose a replica.
	PredictedTokens int
}

// Capacity is the capacity that a pool currently grants to rollouts.
type Capacity struct {
	Slots          int    // samples that may be in generation at the same time
	StalenessBound uint64 // in versions, from the table in force
}
