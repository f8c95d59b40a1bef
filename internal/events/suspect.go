package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// SuspectChanged is a step of this process on the record of requests under which back ends crashed.
type SuspectChanged struct {
	Digest  string `json:"digest" doc:"of the request, as in the lines of its runs; the row of the table is named by it"`
	Step    string `json:"step" doc:"report (a back end crashed), claim (one run of a suspect), return (it ended without a crash), clear (it was answered whole) or forget"`
	Taken   bool   `json:"taken" doc:"the record says so now; false: another process was faster, or there is no room"`
	Crashes int    `json:"crashes" doc:"back ends on record then; 0: the request is free"`
	Replica string `json:"replica,omitempty" doc:"back end that crashed"`
	Subject string `json:"subject,omitempty" doc:"tenant, method, host and path of the request"`
}

var suspectChangedKind = kind("suspect_changed", logrus.InfoLevel, perFailure)

// Kind implements logging.Event.
func (*SuspectChanged) Kind() *logging.Kind { return &suspectChangedKind }
