package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// SuspectChanged reports a step of this process on the record of requests under which back ends crashed.
type SuspectChanged struct {
	Digest  string `json:"digest" doc:"digest of the request, as in the lines of its runs; it is the key of the row in the table"`
	Step    string `json:"step" doc:"report (a back end crashed), claim (reserves one run of a suspect), return (that run ended without a crash), clear (the request was answered completely) or forget"`
	Taken   bool   `json:"taken" doc:"whether the record now reflects the step; false if another process was faster or there is no space"`
	Crashes int    `json:"crashes" doc:"number of back ends on the record afterwards; 0 if the request is no longer suspected"`
	Replica string `json:"replica,omitempty" doc:"back end that crashed"`
	Subject string `json:"subject,omitempty" doc:"tenant, method, host and path of the request"`
}

var suspectChangedKind = newKind("suspect_changed", logrus.InfoLevel, failureRate)

// Kind implements logging.Event.
func (*SuspectChanged) Kind() *logging.Kind { return &suspectChangedKind }
