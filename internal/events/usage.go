package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// UsageSealed reports that the figures of a usage window are final.
type UsageSealed struct {
	Window   uint64  `json:"window" doc:"number of the window"`
	Tenants  int     `json:"tenants" doc:"number of tenants with requests in the window"`
	Requests uint64  `json:"requests" doc:"number of requests that started to run in the window"`
	AfterMs  float64 `json:"after_ms" doc:"time since the end of the window"`
}

var usageSealedKind = newKind("usage_sealed", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*UsageSealed) Kind() *logging.Kind { return &usageSealedKind }

// UsageReported reports the outcome of sending the report of a sealed usage window.
type UsageReported struct {
	Window   uint64  `json:"window" doc:"number of the window"`
	Token    uint64  `json:"token" doc:"fencing token"`
	Requests uint64  `json:"requests" doc:"number of requests that the report covers"`
	Cause    string  `json:"cause,omitempty" doc:"why the report was rejected; absent if it was accepted"`
	TookMs   float64 `json:"took_ms" doc:"time until the answer came"`
}

var usageReportedKind = newKind("usage_reported", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*UsageReported) Kind() *logging.Kind { return &usageReportedKind }

// UsageLate reports usage counts that came after their window was sealed.
type UsageLate struct {
	Windows  uint64 `json:"windows" doc:"number of windows whose counts came late or again"`
	Requests uint64 `json:"requests" doc:"number of requests that are in no report, at least"`
	Next     uint64 `json:"next" doc:"first window that is not sealed yet"`
}

var usageLateKind = newKind("usage_late", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*UsageLate) Kind() *logging.Kind { return &usageLateKind }
