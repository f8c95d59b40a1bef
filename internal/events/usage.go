package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// UsageSealed is a window whose figures are fixed.
type UsageSealed struct {
	Window   uint64  `json:"window" doc:"number of the window"`
	Tenants  int     `json:"tenants" doc:"tenants with requests in it"`
	Requests uint64  `json:"requests" doc:"requests that began to run in it"`
	AfterMs  float64 `json:"after_ms" doc:"time since the window's end"`
}

var usageSealedKind = kind("usage_sealed", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*UsageSealed) Kind() *logging.Kind { return &usageSealedKind }

// UsageReported is a report of a sealed window, as it ended.
type UsageReported struct {
	Window   uint64  `json:"window" doc:"number of the window"`
	Token    uint64  `json:"token" doc:"fencing token"`
	Requests uint64  `json:"requests" doc:"requests that the report tells of"`
	Cause    string  `json:"cause,omitempty" doc:"why it was not taken; none: it was"`
	TookMs   float64 `json:"took_ms" doc:"until the answer"`
}

var usageReportedKind = kind("usage_reported", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*UsageReported) Kind() *logging.Kind { return &usageReportedKind }

// UsageLate are counts that came after their window was sealed.
type UsageLate struct {
	Windows  uint64 `json:"windows" doc:"windows whose counts came late, or again"`
	Requests uint64 `json:"requests" doc:"requests that are in no report, at least"`
	Next     uint64 `json:"next" doc:"first window that is not sealed"`
}

var usageLateKind = kind("usage_late", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*UsageLate) Kind() *logging.Kind { return &usageLateKind }
