package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// SampleStarted is an attempt of a coordinator at a sample.
type SampleStarted struct {
	Sample string `json:"sample" doc:"id of the sample: trainer, step, prompt and index"`
	Pool   string `json:"pool" doc:"pool that generates it"`
	Kept   int    `json:"kept,omitempty" doc:"tokens that are held from an earlier attempt"`
}

var sampleStartedKind = kind("sample_started", logrus.InfoLevel, perRequest)

// Kind implements logging.Event.
func (*SampleStarted) Kind() *logging.Kind { return &sampleStartedKind }

// SampleInterrupted is an attempt at a sample that ended early.
type SampleInterrupted struct {
	Sample  string `json:"sample" doc:"id of the sample"`
	Gateway string `json:"gateway,omitempty" doc:"gateway that the request went to"`
	Replica string `json:"replica,omitempty" doc:"back end that generated"`
	Request string `json:"request,omitempty" doc:"name of the request at its back end"`
	Tokens  int    `json:"tokens" doc:"tokens that are held"`
	Kept    bool   `json:"kept" doc:"whether the next attempt goes on from them"`
	Cause   string `json:"cause" doc:"why it ended"`
}

var sampleInterruptedKind = kind("sample_interrupted", logrus.WarnLevel, perFailure)

// Kind implements logging.Event.
func (*SampleInterrupted) Kind() *logging.Kind { return &sampleInterruptedKind }

// SampleGenerated is a sample whose text is whole; it is scored and stored next.
type SampleGenerated struct {
	Sample   string   `json:"sample" doc:"id of the sample"`
	Replica  string   `json:"replica,omitempty" doc:"back end that generated the last part"`
	Tokens   int      `json:"tokens" doc:"tokens of the text"`
	Versions []uint64 `json:"versions,omitempty" doc:"weight versions of its segments, in order"`
}

var sampleGeneratedKind = kind("sample_generated", logrus.InfoLevel, perRequest)

// Kind implements logging.Event.
func (*SampleGenerated) Kind() *logging.Kind { return &sampleGeneratedKind }
