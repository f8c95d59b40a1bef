// Package weights registers weight versions of models and rolls them out to the registered replicas. A version is
// registered in the release registry of the control group. The process that leads the control group runs one rollout
// wave per model over its replicas and sends them load orders under a fencing token.
//
// Two machines must never alternate in sending orders to the same replica. Orders are therefore sent only while the
// leadership is confirmed, and a new leader waits until every order of its predecessor must have arrived. The machine
// that sent the last orders need not wait, so the leadership is offered to it once it is back.
package weights

import (
	"context"
	"errors"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/release"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/wave"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// fenceResource is the fenced resource that a process must own to send orders to replicas.
const fenceResource = "replica-orders"

// resourcePrefix separates the entries of models from those of pools in the release registry.
const resourcePrefix = "model/"

// Control is the part of the control node client that this package uses.
type Control interface {
	Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error)
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
}

// ErrSuperseded means that the replica has seen a higher fencing token, so another process now sends the orders.
var ErrSuperseded = errors.New("weights: another process orders this replica")

// ErrRestarted means that the addressed incarnation of the replica has ended because the replica has restarted.
var ErrRestarted = errors.New("weights: the replica has started again")

// Order asks a replica to load and serve a version of a model.
type Order struct {
	replica.Target
	Model  string
	Number uint64
	Fence  uint64
	// ExpectedOrders is the number of orders that the replica must have accepted so far. The replica rejects the order
	// at any other number, which keeps a delayed order from taking effect after a later one.
	ExpectedOrders uint64
}

// Report is the status that a replica reports. It may be some hundred milliseconds old.
type Report struct {
	OrdersAccepted uint64 // number of orders accepted since the replica started
	Busy           bool   // whether an order is being executed
	Serving        uint64 // version of the requested model; 0 if the replica does not serve it
	Models         []registry.ModelVersion
}

// Acceptance is the answer of a replica to an order.
type Acceptance uint8

// Values of Acceptance.
const (
	OrderAccepted  Acceptance = iota + 1 // the order was accepted and the replica will serve the version
	AlreadyServing                       // the replica already serves the version
	OrderRejected                        // rejected: another order is being executed or was accepted in the meantime
)

// Sender calls replicas. Its methods return ErrSuperseded if the order was rejected for its fencing token, and
// ErrRestarted if the addressed incarnation has ended. After any other error the order may have been accepted.
type Sender interface {
	// Report requests the status of a replica. The model may be empty.
	Report(ctx context.Context, target replica.Target, model string) (Report, error)
	Order(ctx context.Context, order Order) (Acceptance, error)
}

// RegisterVersion registers a version of a model. The registration is durable once RegisterVersion returns nil. A
// version that is not newer than the newest one counts as registered already. It returns trace.BadParameter if the
// version can't be registered. After any other error the outcome is unknown.
func RegisterVersion(ctx context.Context, control Control, model string, number uint64, trainer string) error {
	if model == "" || number == 0 {
		return trace.BadParameter("a version needs a model and a number above 0")
	}
	result, err := control.Execute(ctx, state.ControlGroup, &wire.Command{Kind: &wire.Command_VersionRelease{
		VersionRelease: &wire.VersionRelease{Pool: resourcePrefix + model, Version: strconv.FormatUint(number, 10),
			VersionNumber: number, Trainer: trainer}}})
	if err != nil {
		return trace.Wrap(err)
	}
	answer := result.GetVersion()
	switch {
	case answer == nil:
		return trace.BadParameter("the version can't be named: %s", result.GetInvalid())
	case answer.GetAccepted() || answer.GetReason() == release.ReasonOldNumber:
		return nil
	}
	return trace.BadParameter("the version can't be named: %s", answer.GetReason())
}

// NewestVersion returns the newest registered version of a model by a linearizable read. The number is 0 if the model
// has none.
func NewestVersion(ctx context.Context, control Control, model string) (wave.Version, error) {
	view, err := control.Query(ctx, state.ControlGroup, &wire.Query{Kind: &wire.Query_Versions{
		Versions: &wire.VersionsQuery{Pool: resourcePrefix + model}}})
	if err != nil {
		return wave.Version{}, trace.Wrap(err)
	}
	versions := view.GetVersions().GetVersions()
	if len(versions) == 0 {
		return wave.Version{}, nil
	}
	last := versions[len(versions)-1]
	return wave.Version{Name: last.GetVersion(), Number: last.GetVersionNumber()}, nil
}
