// Package workload describes the load that callers generate: arrival processes, heavy-tailed length distributions and
// shared prompt prefixes. Workloads are read from strict YAML, and equal seeds generate equal calls. The load tool, the
// fleet and the experiments share this format.
package workload

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/strictyaml"
)

// Process names a kind of arrival process.
type Process string

// The kinds of arrival processes.
const (
	ProcessPoisson Process = "poisson" // independent arrivals at a mean rate
	ProcessUniform Process = "uniform" // evenly spaced arrivals
	ProcessBursts  Process = "bursts"  // Poisson arrivals plus bursts of simultaneous calls
)

// Service names the kind of back end that a source calls.
type Service string

// The kinds of back ends.
const (
	ServiceEngine      Service = "engine"
	ServiceApplication Service = "application"
)

// Workload is a set of sources that call concurrently.
type Workload struct {
	// Sources lists the independent streams of calls. At least one.
	Sources []Source `yaml:"sources"`
}

// Source describes one stream of calls to one pool.
type Source struct {
	// Name appears in reports. Required, unique.
	Name string `yaml:"name"`
	// Pool is the name of the called pool. Required.
	Pool string `yaml:"pool"`
	// Service is the kind of the pool's back ends, engine or application. Default engine.
	Service Service `yaml:"service"`
	// Operation is the called operation of an application pool, push or join. Required for the service application.
	Operation string `yaml:"operation"`
	// Class is the caller class sent with each call. Default live.
	Class string `yaml:"class"`
	// Deadline is the time from a call's intended start within which it must be answered. Default 30s.
	Deadline time.Duration `yaml:"deadline"`
	// Arrival is the arrival process of the calls.
	Arrival Arrival `yaml:"arrival"`
	// Prompt is the length distribution of the unshared part of a prompt, in tokens. Default median 64, sigma 0.6.
	Prompt Length `yaml:"prompt_tokens"`
	// Output is the length distribution of an answer, in tokens. Default median 48, sigma 0.6.
	Output Length `yaml:"output_tokens"`
	// Sharing makes prompts share common prefixes.
	Sharing Sharing `yaml:"sharing"`
	// StreamedShare is the share of calls that request a streamed answer, 0 to 1. Default 0.
	StreamedShare float64 `yaml:"streamed_share"`
	// ChatShare is the share of calls that use chat completions, 0 to 1. Default 0.
	ChatShare float64 `yaml:"chat_share"`
	// BodyBytes is the size of the filling in an application call's body, in bytes. Default 256.
	BodyBytes int `yaml:"body_bytes"`
}

// Arrival describes an arrival process.
type Arrival struct {
	// Process is poisson, uniform or bursts. Default poisson.
	Process Process `yaml:"process"`
	// PerSecond is the mean rate in calls per second, not counting bursts. Required.
	PerSecond float64 `yaml:"per_second"`
	// BurstEvery is the mean time between bursts. Required for bursts.
	BurstEvery time.Duration `yaml:"burst_every"`
	// BurstSize is the number of simultaneous calls in a burst. Required for bursts.
	BurstSize int `yaml:"burst_size"`
}

// Length is a distribution of lengths in tokens: lognormal, with a Pareto tail for a share of the draws.
type Length struct {
	// Median is the median of the lognormal part, in tokens.
	Median float64 `yaml:"median"`
	// Sigma is the standard deviation of the lognormal part's logarithm.
	Sigma float64 `yaml:"sigma"`
	// TailShare is the share of draws that come from the tail, 0 to 1. Default 0.
	TailShare float64 `yaml:"tail_share"`
	// TailFrom is the minimum of the tail, in tokens. Default four times the median.
	TailFrom float64 `yaml:"tail_from"`
	// TailAlpha is the tail's exponent. Smaller values give a heavier tail. Default 1.5.
	TailAlpha float64 `yaml:"tail_alpha"`
	// Max is the upper limit to which every draw is clamped, in tokens. Default 4096.
	Max int `yaml:"max"`
}

// Sharing makes a share of the prompts begin with one of several common prefixes.
type Sharing struct {
	// Prefixes is the number of common prefixes. Default 0, none.
	Prefixes int `yaml:"prefixes"`
	// PrefixTokens is the length of each prefix, in tokens. Default 256.
	PrefixTokens int `yaml:"prefix_tokens"`
	// Share is the share of calls whose prompt begins with a common prefix, 0 to 1. Default 1 if Prefixes is above 0.
	Share float64 `yaml:"share"`
}

// Load reads a workload from a file and fills in the defaults. The error for an unknown field or an invalid value names
// file, line and field.
func Load(path string) (Workload, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, trace.ConvertSystemError(err)
	}
	return Parse(path, content)
}

// Parse reads a workload from YAML, fills in the defaults and validates it. Errors refer to the content by the name
// file.
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

// SetDefaults sets unset fields to their documented defaults.
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

// SetDefaults sets unset fields to their documented defaults, with the given default for the median.
func (l *Length) SetDefaults(median float64) {
	if l.Median == 0 {
		l.Median = median
		defaults.Set(&l.Sigma, 0.6)
	}
	defaults.Set(&l.TailFrom, 4*l.Median)
	defaults.Set(&l.TailAlpha, 1.5)
	defaults.Set(&l.Max, 4096)
}

// Validate returns a strictyaml.FieldError for the first invalid value.
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

// Validate returns a strictyaml.FieldError for the first invalid value.
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

// Validate returns a strictyaml.FieldError for the first invalid value.
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
