package state

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Level returns the level in force for the group.
func (m *Machine) Level() compat.Level { return m.level }

// setLevel brings a level into force for the machine and its table.
func (m *Machine) setLevel(level compat.Level) {
	m.level = level
	m.table.SetLevel(level)
}

// raiseLevel brings a level into force. It is refused if the level is not above the one in force.
func (m *Machine) raiseLevel(command *wire.LevelRaise) *wire.LevelResult {
	wanted := compat.Level(command.GetLevel())
	if m.level.Includes(wanted) {
		return &wire.LevelResult{Level: uint32(m.level), Reason: fmt.Sprintf("%s is in force", m.level)}
	}
	m.setLevel(wanted)
	return &wire.LevelResult{Accepted: true, Level: uint32(wanted)}
}

// CheckReadable returns an error for a command that this build cannot apply as other builds do. The node must then
// stop, because its state would diverge from the other replicas'.
func (m *Machine) CheckReadable(command *wire.Command) error {
	if command.GetKind() == nil {
		return trace.BadParameter("the log holds a command of a kind that this build (%s) does not know: use a newer build", compat.Newest)
	}
	if level := compat.Level(command.GetLevelRaise().GetLevel()); !compat.Newest.Includes(level) {
		return levelTooHigh(level)
	}
	return nil
}

// levelTooHigh returns the error for a level that this build does not support.
func levelTooHigh(level compat.Level) error {
	return trace.BadParameter("%s is in force for the group and this build speaks up to %s: use a newer build", level, compat.Newest)
}
