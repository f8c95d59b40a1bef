package engine

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/strictyaml"
)

// Parameters describe one model engine. The zero value of a field in a file means its default, except
// where the field says otherwise.
type Parameters struct {
	// StepBase is the duration of a step that does nothing else: kernel launches and the read of the
	// weights. Default 20ms; the users' real value is unknown, studies range from 10ms to 80ms.
	StepBase time.Duration `yaml:"step_base"`
	// StepPerSequence is added to a step for each sequence that decodes in it. Default 100µs.
	StepPerSequence time.Duration `yaml:"step_per_sequence"`
	// StepPerThousandContext is added for each thousand tokens of context that the step's decoding
	// sequences attend to. Default 50µs.
	StepPerThousandContext time.Duration `yaml:"step_per_thousand_context"`
	// PrefillRate is how many prompt tokens are prefilled per second. Default 20000.
	PrefillRate float64 `yaml:"prefill_tokens_per_second"`
	// PrefillChunk bounds the prompt tokens of one step, so that a long prompt does not stall those that
	// decode. Default 512 tokens.
	PrefillChunk int `yaml:"prefill_chunk_tokens"`
	// MaxBatch bounds the sequences that run at once. Default 64.
	MaxBatch int `yaml:"max_batch"`
	// MaxWaiting bounds the requests that wait; one more is refused. Default 1024.
	MaxWaiting int `yaml:"max_waiting"`
	// BlockTokens is the size of one KV memory block. Default 16 tokens.
	BlockTokens int `yaml:"block_tokens"`
	// Blocks is the KV memory, running sequences and prefix cache together. Default 16384 blocks.
	Blocks int `yaml:"kv_blocks"`
	// SwapTime is how long no step runs while staged weights replace the served ones. Default 500ms.
	SwapTime time.Duration `yaml:"swap_time"`
	// StageTime is how long staging a version takes beside the running steps, once its data is on the
	// machine. Default 1s.
	StageTime time.Duration `yaml:"stage_time"`
	// TransferBase and TransferPerThousand are the cost of moving one sequence's KV blocks to another
	// engine: a constant and a part per thousand tokens. Defaults 5ms and 8ms.
	TransferBase        time.Duration `yaml:"transfer_base"`
	TransferPerThousand time.Duration `yaml:"transfer_per_thousand_tokens"`
	// CacheEvents is how many prefix cache events are kept for readers; older ones are lost to them and
	// show as a gap. Default 4096; -1 records none.
	CacheEvents int `yaml:"cache_events"`
}

// DefaultParameters returns the documented defaults.
func DefaultParameters() Parameters {
	var parameters Parameters
	parameters.SetDefaults()
	return parameters
}

// ParseParameters reads parameters from YAML; unknown fields and impossible values are refused with file, line and field.
// Errors call the content file.
func ParseParameters(file string, content []byte) (Parameters, error) {
	var parameters Parameters
	if err := strictyaml.Decode(file, content, &parameters); err != nil {
		return Parameters{}, err
	}
	parameters.SetDefaults()
	if err := parameters.Validate(); err != nil {
		return Parameters{}, strictyaml.Locate(file, content, err)
	}
	return parameters, nil
}

// Validate refuses impossible values with a strictyaml.FieldError.
func (p Parameters) Validate() error {
	durations := []struct {
		field string
		value time.Duration
	}{
		{"step_base", p.StepBase}, {"step_per_sequence", p.StepPerSequence},
		{"step_per_thousand_context", p.StepPerThousandContext}, {"swap_time", p.SwapTime},
		{"stage_time", p.StageTime}, {"transfer_base", p.TransferBase},
		{"transfer_per_thousand_tokens", p.TransferPerThousand},
	}
	for _, duration := range durations {
		if duration.value < 0 {
			return strictyaml.Fieldf(duration.field, "%v must not be negative", duration.value)
		}
	}
	counts := []struct {
		field string
		value int
	}{
		{"prefill_chunk_tokens", p.PrefillChunk}, {"max_batch", p.MaxBatch}, {"max_waiting", p.MaxWaiting},
		{"block_tokens", p.BlockTokens}, {"kv_blocks", p.Blocks},
	}
	for _, count := range counts {
		if count.value < 1 {
			return strictyaml.Fieldf(count.field, "%d must be at least 1", count.value)
		}
	}
	if p.StepBase <= 0 {
		return strictyaml.Fieldf("step_base", "%v: a step must take time", p.StepBase)
	}
	if !(p.PrefillRate > 0) {
		return strictyaml.Fieldf("prefill_tokens_per_second", "%v must be above 0", p.PrefillRate)
	}
	return nil
}

// SetDefaults gives fields that are zero their documented defaults.
func (p *Parameters) SetDefaults() {
	defaults.Set(&p.StepBase, 20*time.Millisecond)
	defaults.Set(&p.StepPerSequence, 100*time.Microsecond)
	defaults.Set(&p.StepPerThousandContext, 50*time.Microsecond)
	defaults.Set(&p.PrefillRate, 20000)
	defaults.Set(&p.PrefillChunk, 512)
	defaults.Set(&p.MaxBatch, 64)
	defaults.Set(&p.MaxWaiting, 1024)
	defaults.Set(&p.BlockTokens, 16)
	defaults.Set(&p.Blocks, 16384)
	defaults.Set(&p.SwapTime, 500*time.Millisecond)
	defaults.Set(&p.StageTime, time.Second)
	defaults.Set(&p.TransferBase, 5*time.Millisecond)
	defaults.Set(&p.TransferPerThousand, 8*time.Millisecond)
	defaults.Set(&p.CacheEvents, 4096)
}

// TransferTime is the cost of moving the KV blocks of that many tokens to another engine.
func (p Parameters) TransferTime(tokens int) time.Duration {
	return p.TransferBase + time.Duration(tokens)*p.TransferPerThousand/1000
}
