package engine

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/strictyaml"
)

// Parameters configures one model engine. A field that is zero or missing in a file gets its default.
type Parameters struct {
	// StepBase is the fixed part of a step's duration: kernel launches and reading the weights. Default 20ms. The real
	// value at the users is unknown; studies range from 10ms to 80ms.
	StepBase time.Duration `yaml:"step_base"`
	// StepPerSequence is added to a step for each sequence that decodes in it. Default 100µs.
	StepPerSequence time.Duration `yaml:"step_per_sequence"`
	// StepPerThousandContext is added for each thousand tokens of context that the step's decoding
	// sequences attend to. Default 50µs.
	StepPerThousandContext time.Duration `yaml:"step_per_thousand_context"`
	// PrefillRate is the number of prompt tokens prefilled per second. Default 20000.
	PrefillRate float64 `yaml:"prefill_tokens_per_second"`
	// PrefillChunk limits the prompt tokens of one step, so that a long prompt does not stall the sequences that
	// decode. Default 512 tokens.
	PrefillChunk int `yaml:"prefill_chunk_tokens"`
	// MaxBatch limits the sequences that run at the same time. Default 64.
	MaxBatch int `yaml:"max_batch"`
	// MaxWaiting limits the waiting requests; further ones are rejected. Default 1024.
	MaxWaiting int `yaml:"max_waiting"`
	// BlockTokens is the size of one KV memory block. Default 16 tokens.
	BlockTokens int `yaml:"block_tokens"`
	// Blocks is the size of the KV memory that running sequences and the prefix cache share. Default 16384 blocks.
	Blocks int `yaml:"kv_blocks"`
	// SwapTime is the time without steps while staged weights replace the served ones. Default 500ms.
	SwapTime time.Duration `yaml:"swap_time"`
	// StageTime is the time to stage a version whose data is already on the machine. Steps keep running meanwhile.
	// Default 1s.
	StageTime time.Duration `yaml:"stage_time"`
	// TransferBase and TransferPerThousand are the time to move the KV blocks of one sequence to another engine: a
	// constant part and a part per thousand tokens. Defaults 5ms and 8ms.
	TransferBase        time.Duration `yaml:"transfer_base"`
	TransferPerThousand time.Duration `yaml:"transfer_per_thousand_tokens"`
	// CacheEvents is the number of prefix cache events kept for readers. Readers that are further behind see a gap in
	// the sequence numbers. Default 4096; -1 records none.
	CacheEvents int `yaml:"cache_events"`
}

// DefaultParameters returns parameters with every field at its documented default.
func DefaultParameters() Parameters {
	var parameters Parameters
	parameters.SetDefaults()
	return parameters
}

// ParseParameters decodes parameters from YAML content. It rejects unknown fields and invalid values with an error that
// names file, line and field. The name in file is used in errors only.
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

// Validate returns a strictyaml.FieldError for the first invalid value.
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

// SetDefaults sets fields that are zero to their documented defaults.
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

// TransferTime returns the time to move the KV blocks of that many tokens to another engine.
func (p Parameters) TransferTime(tokens int) time.Duration {
	return p.TransferBase + time.Duration(tokens)*p.TransferPerThousand/1000
}
