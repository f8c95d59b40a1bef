// Package poisonguardtest provides helpers for tests of packages that use poisonguard. Only tests import it.
package poisonguardtest

import (
	"context"
	"errors"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// ErrNoLeader is the error of all methods of NoControl.
var ErrNoLeader = errors.New("no leader")

// NoControl is a control group without a leader. A guard that uses it decides by the crashes that it observed itself.
// It implements configure.Control.
type NoControl struct{}

// Query implements configure.Control.
func (NoControl) Query(context.Context, uint32, *wire.Query) (*wire.View, error) {
	return nil, ErrNoLeader
}

// ChangeTable implements configure.Control.
func (NoControl) ChangeTable(context.Context, *wire.TableChange, bool) (*wire.TableResult, uint64, error) {
	return nil, 0, ErrNoLeader
}

// NotRecorded is a value for poisonguard.Config.Recorded: suspects must not be recorded yet. A guard then does not wait
// for the record and decides by the crashes that it observed itself.
func NotRecorded() bool { return false }
