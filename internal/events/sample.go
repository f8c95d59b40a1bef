package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// SampleStarted reports that a coordinator starts an attempt to generate a sample.
type SampleStarted struct {
	Sample string `json:"sample" doc:"id of the sample: trainer, step, prompt and index"`
	Pool   string `json:"pool" doc:"pool that generates it"`
	Kept   int    `json:"kept,omitempty" doc:"number of tokens kept from an earlier attempt"`
}

var sampleStartedKind = newKind("sample_started", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*SampleStarted) Kind() *logging.Kind { return &sampleStartedKind }

// SampleInterrupted reports that an attempt to generate a sample ended early.
type SampleInterrupted struct {
	Sample  string `json:"sample" doc:"id of the sample"`
	Gateway string `json:"gateway,omitempty" doc:"gateway that the request was sent to"`
	Replica string `json:"replica,omitempty" doc:"back end that generated"`
	Request string `json:"request,omitempty" doc:"id of the request at its back end"`
	Tokens  int    `json:"tokens" doc:"number of tokens received so far"`
	Kept    bool   `json:"kept" doc:"whether the next attempt continues from these tokens"`
	Cause   string `json:"cause" doc:"why the attempt ended"`
}

var sampleInterruptedKind = newKind("sample_interrupted", logrus.WarnLevel, failureRate)

// Kind implements logging.Event.
func (*SampleInterrupted) Kind() *logging.Kind { return &sampleInterruptedKind }

// SampleGenerated reports that the text of a sample is complete. The sample is scored and stored next.
type SampleGenerated struct {
	Sample   string   `json:"sample" doc:"id of the sample"`
	Replica  string   `json:"replica,omitempty" doc:"back end that generated the last part"`
	Tokens   int      `json:"tokens" doc:"number of tokens in the text"`
	Versions []uint64 `json:"versions,omitempty" doc:"weight versions of its segments, in order"`
}

var sampleGeneratedKind = newKind("sample_generated", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*SampleGenerated) Kind() *logging.Kind { return &sampleGeneratedKind }
