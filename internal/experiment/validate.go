package experiment

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/strictyaml"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// Validate returns a strictyaml.FieldError for the first invalid value.
func (s *Scenario) Validate() error {
	switch {
	case s.Name == "":
		return strictyaml.Fieldf("name", "a name is needed")
	case s.Duration < 0:
		return strictyaml.Fieldf("duration", "%v must be above 0", s.Duration)
	case s.Warmup < 0 || s.Warmup >= s.Duration:
		return strictyaml.Fieldf("warmup", "%v must be between 0 and the duration %v", s.Warmup, s.Duration)
	case len(s.Trainers) == 0:
		return strictyaml.Fieldf("trainers", "at least one is needed")
	case len(s.Policies) == 0:
		return strictyaml.Fieldf("policies", "at least one is needed")
	}
	if err := s.Fleet.validate(); err != nil {
		return strictyaml.Within("fleet", err)
	}
	if err := s.Table.validate(); err != nil {
		return strictyaml.Within("table", err)
	}
	if err := s.Weights.validate(); err != nil {
		return strictyaml.Within("weights", err)
	}
	if len(s.Live) > 0 {
		if err := s.validateLive(); err != nil {
			return err
		}
	}
	return s.validateLists()
}

func (s *Scenario) validateLive() error {
	err := workload.Workload{Sources: s.Live}.Validate()
	if field, isFieldError := err.(*strictyaml.FieldError); isFieldError {
		return strictyaml.Fieldf("live"+field.Path[len("sources"):], "%s", field.Reason)
	}
	return err
}

func (s *Scenario) validateLists() error {
	names := map[string]bool{}
	for index := range s.Trainers {
		if err := s.Trainers[index].validate(names); err != nil {
			return strictyaml.Within(fmt.Sprintf("trainers[%d]", index), err)
		}
	}
	for index := range s.Faults {
		if err := s.Faults[index].validate(); err != nil {
			return strictyaml.Within(fmt.Sprintf("faults[%d]", index), err)
		}
	}
	names = map[string]bool{}
	for index := range s.Policies {
		if err := s.Policies[index].validate(names); err != nil {
			return strictyaml.Within(fmt.Sprintf("policies[%d]", index), err)
		}
	}
	return nil
}

func (f *Fleet) validate() error {
	names := map[string]bool{}
	for index, zone := range f.Zones {
		path := fmt.Sprintf("zones[%d]", index)
		switch {
		case zone.Name == "" || names[zone.Name]:
			return strictyaml.Fieldf(path+".name", "%q is empty or used twice", zone.Name)
		case zone.Region == "":
			return strictyaml.Fieldf(path+".region", "a region is needed")
		case zone.Replicas < 0:
			return strictyaml.Fieldf(path+".replicas", "%d must not be negative", zone.Replicas)
		}
		names[zone.Name] = true
	}
	if f.Replicas() == 0 {
		return strictyaml.Fieldf("zones", "no zone has a replica")
	}
	if f.Gateways < 1 {
		return strictyaml.Fieldf("gateways", "%d must be at least 1", f.Gateways)
	}
	if err := validateDurations([]namedDuration{
		{"zone_delay", f.ZoneDelay}, {"region_delay", f.RegionDelay},
		{"report_interval", f.ReportInterval}, {"report_lag", f.ReportLag},
	}); err != nil {
		return err
	}
	if err := f.Engine.Validate(); err != nil {
		return strictyaml.Within("engine", err)
	}
	return nil
}

func (t *Table) validate() error {
	switch {
	case t.MaxInFlight < 1:
		return strictyaml.Fieldf("max_in_flight", "%d must be at least 1", t.MaxInFlight)
	case t.RolloutShare < 0 || t.RolloutShare > 100:
		return strictyaml.Fieldf("rollout_share", "%d is not between 0 and 100", t.RolloutShare)
	case t.QueueLimit < 0:
		return strictyaml.Fieldf("queue_limit", "%d must not be negative", t.QueueLimit)
	}
	return validateDurations([]namedDuration{{"queue_wait", t.QueueWait}})
}

func (w *Weights) validate() error {
	switch {
	case w.StoreStreams < 1:
		return strictyaml.Fieldf("store_streams", "%d must be at least 1", w.StoreStreams)
	case w.SwapShare < 1 || w.SwapShare > 100:
		return strictyaml.Fieldf("swap_share", "%d is not between 1 and 100", w.SwapShare)
	}
	return validateDurations([]namedDuration{{"fetch_time", w.FetchTime}})
}

func (t *Trainer) validate(names map[string]bool) error {
	switch {
	case t.Name == "" || names[t.Name]:
		return strictyaml.Fieldf("name", "%q is empty or used twice", t.Name)
	case !(t.Share > 0):
		return strictyaml.Fieldf("share", "%v must be above 0", t.Share)
	case t.PromptsPerStep < 1:
		return strictyaml.Fieldf("prompts_per_step", "%d must be at least 1", t.PromptsPerStep)
	case t.SamplesPerPrompt < 1:
		return strictyaml.Fieldf("samples_per_prompt", "%d must be at least 1", t.SamplesPerPrompt)
	case !(t.GroupSigma >= 0):
		return strictyaml.Fieldf("group_sigma", "%v must not be negative", t.GroupSigma)
	case !(t.TrainJitter >= 0):
		return strictyaml.Fieldf("train_jitter", "%v must not be negative", t.TrainJitter)
	case t.StepsAhead < 0:
		return strictyaml.Fieldf("steps_ahead", "%d must not be negative", t.StepsAhead)
	}
	names[t.Name] = true
	if err := t.PromptTokens.Validate(); err != nil {
		return strictyaml.Within("prompt_tokens", err)
	}
	if err := t.OutputTokens.Validate(); err != nil {
		return strictyaml.Within("output_tokens", err)
	}
	return validateDurations([]namedDuration{{"train_time", t.TrainTime}, {"score_time", t.ScoreTime}})
}

type namedDuration struct {
	field string
	value time.Duration
}

func validateDurations(durations []namedDuration) error {
	for _, one := range durations {
		if one.value <= 0 {
			return strictyaml.Fieldf(one.field, "%v must be above 0", one.value)
		}
	}
	return nil
}
