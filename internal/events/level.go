package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// LevelRaised reports that the control group's leader brought a level into force.
type LevelRaised struct {
	Agreed    uint32 `json:"agreed" doc:"the new level; see docs/operations/upgrades.md"`
	Processes int    `json:"processes" doc:"number of processes present, each of which supports the level"`
}

var levelRaisedKind = newKind("level_raised", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*LevelRaised) Kind() *logging.Kind { return &levelRaisedKind }

// LevelKnown reports that this process learned of the level in force.
type LevelKnown struct {
	Agreed uint32 `json:"agreed" doc:"the level in force"`
	Before uint32 `json:"before" doc:"the level that this process knew before; 0 if none"`
}

var levelKnownKind = newKind("level_known", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*LevelKnown) Kind() *logging.Kind { return &levelKnownKind }
