// Package workload describes what callers ask for: arrival processes, length distributions with a tail
// and shared prompts. It is typed, seeded and read from strict YAML; the load tool, the fleet and the
// experiments use the same files.
package workload

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/strictyaml"
)

// Process names an arrival process.
type Process string

// The arrival processes.
const (
	ProcessPoisson Process = "poisson" // independent arrivals at a mean rate
	ProcessUniform Process = "uniform" // evenly spaced arrivals
	ProcessBursts  Process = "bursts"  // Poisson arrivals, and bursts on top
)

// Service names what kind of back end a source calls.
type Service string

// The services.
const (
	ServiceEngine      Service = "engine"
	ServiceApplication Service = "application"
)

// Workload is a set of sources that call at the same time.
type Workload struct {
	// Sources are independent streams of calls. At least one.
	Sources []Source `yaml:"sources"`
}

// Source is one stream of calls to one pool.
type Source struct {
	// Name appears in reports. Required, unique.
	Name string `yaml:"name"`
	// Pool is the pool called. Required.
	Pool string `yaml:"pool"`
	// Service is engine or application. Default engine.
	Service Service `yaml:"service"`
	// Operation of an application pool: push or join. Required there.
	Operation string `yaml:"operation"`
	// Class is the caller class. Default live.
	Class string `yaml:"class"`
	// Deadline of each call. Default 30s.
	Deadline time.Duration `yaml:"deadline"`
	// Arrival says when calls come.
	Arrival Arrival `yaml:"arrival"`
	// Prompt is the length of the unshared part of a prompt, in tokens. Default median 64, sigma 0.6.
	Prompt Length `yaml:"prompt_tokens"`
	// Output is the length of an answer, in tokens. Default median 48, sigma 0.6.
	Output Length `yaml:"output_tokens"`
	// Sharing makes prompts begin alike.
	Sharing Sharing `yaml:"sharing"`
	// StreamedShare is the part of the calls that ask for a streamed answer, 0 to 1. Default 0.
	StreamedShare float64 `yaml:"streamed_share"`
	// ChatShare is the part of the calls that use chat completions, 0 to 1. Default 0.
	ChatShare float64 `yaml:"chat_share"`
	// BodyBytes is the size of an application call's body. Default 256.
	BodyBytes int `yaml:"body_bytes"`
}

// Arrival is an arrival process.
type Arrival struct {
	// Process is poisson, uniform or bursts. Default poisson.
	Process Process `yaml:"process"`
	// PerSecond is the mean rate; bursts come on top. Required.
	PerSecond float64 `yaml:"per_second"`
	// BurstEvery is the mean time between bursts. Required for bursts.
	BurstEvery time.Duration `yaml:"burst_every"`
	// BurstSize is how many calls one burst has, all at once. Required for bursts.
	BurstSize int `yaml:"burst_size"`
}

// Length is a distribution of lengths: lognormal, with a Pareto tail for a share of the draws.
type Length struct {
	// Median of the lognormal part, in tokens.
	Median float64 `yaml:"median"`
	// Sigma of the lognormal part's logarithm.
	Sigma float64 `yaml:"sigma"`
	// TailShare is the part of the draws that come from the tail, 0 to 1. Default 0.
	TailShare float64 `yaml:"tail_share"`
	// TailFrom is where the tail begins, in tokens. Default four times the median.
	TailFrom float64 `yaml:"tail_from"`
	// TailAlpha is the tail's exponent; the smaller, the heavier. Default 1.5.
	TailAlpha float64 `yaml:"tail_alpha"`
	// Max bounds every draw. Default 4096.
	Max int `yaml:"max"`
}

// Sharing makes a share of the prompts begin with one of a few common texts.
type Sharing struct {
	// Prefixes is how many common texts there are. Default 0, none.
	Prefixes int `yaml:"prefixes"`
	// PrefixTokens is the length of each. Default 256.
	PrefixTokens int `yaml:"prefix_tokens"`
	// Share is the part of the calls that begin with one, 0 to 1. Default 1 when there are prefixes.
	Share float64 `yaml:"share"`
}

// Load reads a file; unknown fields and impossible values are refused with file, line and field.
func Load(path string) (Workload, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, trace.ConvertSystemError(err)
	}
	return Parse(path, content)
}

// Parse reads a workload from YAML, fills in the defaults and checks it. Errors call the content file.
func Parse(file string, content []byte) (Workload, error) {
	var parsed Workload
	if err := strictyaml.Decode(file, content, &parsed); err != nil {
		return Workload{}, err
	}
	parsed.SetDefaults()
	if err := parsed.Validate(); err != nil {
		return Workload{}, strictyaml.Locate(file, content, err)
	}
	return parsed, nil
}

// SetDefaults fills in the documented defaults.
func (w *Workload) SetDefaults() {
	for index := range w.Sources {
		w.Sources[index].setDefaults()
	}
}

func (s *Source) setDefaults() {
	defaults.Set(&s.Service, ServiceEngine)
	defaults.Set(&s.Class, "live")
	defaults.Set(&s.Deadline, 30*time.Second)
	defaults.Set(&s.Arrival.Process, ProcessPoisson)
	s.Prompt.SetDefaults(64)
	s.Output.SetDefaults(48)
	defaults.Set(&s.BodyBytes, 256)
	if s.Sharing.Prefixes > 0 {
		defaults.Set(&s.Sharing.PrefixTokens, 256)
		defaults.Set(&s.Sharing.Share, 1)
	}
}

// SetDefaults fills in the documented defaults around a median.
func (l *Length) SetDefaults(median float64) {
	if l.Median == 0 {
		l.Median = median
		defaults.Set(&l.Sigma, 0.6)
	}
	defaults.Set(&l.TailFrom, 4*l.Median)
	defaults.Set(&l.TailAlpha, 1.5)
	defaults.Set(&l.Max, 4096)
}

// Validate refuses impossible values with a strictyaml.FieldError.
func (w Workload) Validate() error {
	if len(w.Sources) == 0 {
		return strictyaml.Fieldf("sources", "at least one is needed")
	}
	names := make(map[string]bool)
	for index, source := range w.Sources {
		path := fmt.Sprintf("sources[%d]", index)
		if source.Name == "" || names[source.Name] {
			return strictyaml.Fieldf(path+".name", "%q is empty or used twice", source.Name)
		}
		names[source.Name] = true
		if err := source.validate(); err != nil {
			return strictyaml.Within(path, err)
		}
	}
	return nil
}

func (s Source) validate() error {
	if s.Pool == "" {
		return strictyaml.Fieldf("pool", "a pool's name is needed")
	}
	switch s.Service {
	case ServiceEngine:
	case ServiceApplication:
		if s.Operation != "push" && s.Operation != "join" {
			return strictyaml.Fieldf("operation", "%q is neither push nor join", s.Operation)
		}
	default:
		return strictyaml.Fieldf("service", "%q is neither engine nor application", s.Service)
	}
	if s.Deadline <= 0 {
		return strictyaml.Fieldf("deadline", "%v must be above 0", s.Deadline)
	}
	if err := s.validateNumbers(); err != nil {
		return err
	}
	if err := s.Prompt.Validate(); err != nil {
		return strictyaml.Within("prompt_tokens", err)
	}
	if err := s.Output.Validate(); err != nil {
		return strictyaml.Within("output_tokens", err)
	}
	if err := s.Arrival.Validate(); err != nil {
		return strictyaml.Within("arrival", err)
	}
	return nil
}

func (s Source) validateNumbers() error {
	shares := []struct {
		field string
		value float64
	}{{"streamed_share", s.StreamedShare}, {"chat_share", s.ChatShare}, {"sharing.share", s.Sharing.Share}}
	for _, share := range shares {
		if !(share.value >= 0 && share.value <= 1) {
			return strictyaml.Fieldf(share.field, "%v is not between 0 and 1", share.value)
		}
	}
	counts := []struct {
		field string
		value int
	}{{"body_bytes", s.BodyBytes}, {"sharing.prefixes", s.Sharing.Prefixes}, {"sharing.prefix_tokens", s.Sharing.PrefixTokens}}
	for _, count := range counts {
		if count.value < 0 {
			return strictyaml.Fieldf(count.field, "%d must not be negative", count.value)
		}
	}
	return nil
}

// Validate refuses impossible values with a strictyaml.FieldError.
func (a Arrival) Validate() error {
	if !(a.PerSecond > 0) {
		return strictyaml.Fieldf("per_second", "%v must be above 0", a.PerSecond)
	}
	switch a.Process {
	case ProcessPoisson, ProcessUniform:
	case ProcessBursts:
		if a.BurstEvery <= 0 {
			return strictyaml.Fieldf("burst_every", "is needed for bursts")
		}
		if a.BurstSize < 1 {
			return strictyaml.Fieldf("burst_size", "is needed for bursts")
		}
	default:
		return strictyaml.Fieldf("process", "%q is not poisson, uniform or bursts", a.Process)
	}
	return nil
}

// Validate refuses impossible values with a strictyaml.FieldError.
func (l Length) Validate() error {
	switch {
	case !(l.Median >= 1):
		return strictyaml.Fieldf("median", "%v must be at least 1", l.Median)
	case !(l.Sigma >= 0):
		return strictyaml.Fieldf("sigma", "%v must not be negative", l.Sigma)
	case !(l.TailShare >= 0 && l.TailShare <= 1):
		return strictyaml.Fieldf("tail_share", "%v is not between 0 and 1", l.TailShare)
	case !(l.TailAlpha > 0):
		return strictyaml.Fieldf("tail_alpha", "%v must be above 0", l.TailAlpha)
	case !(l.TailFrom >= 1):
		return strictyaml.Fieldf("tail_from", "%v must be at least 1", l.TailFrom)
	case l.Max < 1:
		return strictyaml.Fieldf("max", "%d must be at least 1", l.Max)
	}
	return nil
}
