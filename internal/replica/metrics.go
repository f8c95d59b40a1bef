package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/metrics"
)

// invalidAnswers counts the messages that were not the answer to the call on whose connection they came.
type invalidAnswers struct {
	metrics.Set
	byFault *prometheus.CounterVec
}

func newInvalidAnswers() *invalidAnswers {
	part := metrics.Part("replica")
	byFault := part.Counter("invalid_answers_total", "Messages that came in place of a replica's answer, by what showed that they were none.", "fault")
	return &invalidAnswers{Set: metrics.Set{byFault}, byFault: byFault}
}

func (i *invalidAnswers) count(fault answercheck.Fault) {
	i.byFault.WithLabelValues(fault.String()).Inc()
}
