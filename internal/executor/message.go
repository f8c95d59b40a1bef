package executor

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Protocol is the version of the protocol between executors and leaders of this build. Orders and reports of any other
// version are rejected, and a leader drives its runs itself if an executor speaks another version. In version 1,
// reports did not name the order that started their run, and a late report could be mistaken for one of a newer run of
// the same item.
const Protocol = 2

// Errors of a run as the leader sees them.
var (
	// ErrNotAdmitted: the executor did not start the run. Either its routing table or its lease did not permit it, or
	// it refused the order; see RefusedError.
	ErrNotAdmitted = errors.New("executor: the run was not begun")
	// ErrNotHeld: the executor no longer holds the run that the leader wants to attach to.
	ErrNotHeld = errors.New("executor: the run is not held any more")
	// ErrConnectionLost: the connection to the replica was lost before the answer was complete.
	ErrConnectionLost = errors.New("executor: the connection to the replica broke off")

	errTooLong    = errors.New("executor: the answer is too long")
	errOldVersion = errors.New("executor: the weights are older than the job allows")
	errStopped    = errors.New("executor: the run was ended by its leader")
)

// RefusedError says why an executor did not start a run. It unwraps to ErrNotAdmitted.
type RefusedError struct {
	Refusal Refusal
	Cause   string // human-readable reason
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("%v: %s", ErrNotAdmitted, e.Cause) }

// Unwrap makes errors.Is match ErrNotAdmitted.
func (e *RefusedError) Unwrap() error { return ErrNotAdmitted }

// RefusedAs returns the refusal that err carries, or Accepted if err is not a RefusedError.
func RefusedAs(err error) Refusal {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return Accepted
}

// WireOrder encodes an order.
func WireOrder(order Order) *wire.OrderID {
	return &wire.OrderID{Term: order.Term, Number: order.Number}
}

// OrderOf decodes an order. A missing one becomes the zero Order, which no leader issues.
func OrderOf(order *wire.OrderID) Order {
	return Order{Term: order.GetTerm(), Number: order.GetNumber()}
}

// LoadOf decodes the load report of a replica and its age at the time of the executor's report. report is nil if the
// replica sent none.
func LoadOf(load *wire.RunLoad) (report *loadreport.Report, age time.Duration) {
	if load == nil {
		return nil, 0
	}
	return &loadreport.Report{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots()), Pace: load.GetPace(),
	}, time.Duration(load.GetAgeMicros()) * time.Microsecond
}

// wireLoad is the inverse of LoadOf; nil for no report.
func wireLoad(report *loadreport.Report, age time.Duration) *wire.RunLoad {
	if report == nil {
		return nil
	}
	return &wire.RunLoad{
		Running: uint32(report.Running), Waiting: uint32(report.Waiting), Slots: uint32(report.Slots), Pace: report.Pace, AgeMicros: ageMicros(age),
	}
}

// ageMicros returns an age in microseconds, limited to 0 to maxAge.
func ageMicros(age time.Duration) uint32 { return uint32(min(max(age, 0), maxAge).Microseconds()) }

// causeNotPermitted is the cause reported for a run that the executor's table or lease did not permit.
const causeNotPermitted = "the table or the lease does not permit it"

// EndOf encodes the end of the run that order started.
func EndOf(key Key, order Order, outcome *replica.Outcome) *wire.RunEnded {
	ended := &wire.RunEnded{
		Key: wireKey(key), Order: WireOrder(order), Verdict: uint32(outcome.Verdict), Status: uint32(outcome.Status), Whole: outcome.Complete,
		Refused: uint32(outcome.Refused), Peer: uint32(outcome.Peer), NotAdmitted: errors.Is(outcome.Err, ErrNotAdmitted),
		Lost: isConnectionLoss(outcome.Err), Load: wireLoad(outcome.Load, 0),
	}
	switch {
	case ended.NotAdmitted:
		ended.Cause, ended.Refusal = causeNotPermitted, uint32(NotPermitted)
	case outcome.Err != nil:
		ended.Cause = outcome.Err.Error()
	}
	return ended
}

// RefusalOf returns why an executor did not start a run, or Accepted if it did. It returns NotPermitted for an executor
// of an older build, which reports no reason. The result may be a value that only newer builds define.
func RefusalOf(ended *wire.RunEnded) Refusal {
	switch {
	case !ended.GetNotAdmitted():
		return Accepted
	case ended.GetRefusal() == 0:
		return NotPermitted
	}
	return Refusal(min(ended.GetRefusal(), math.MaxUint8))
}

// isConnectionLoss reports whether err means that the connection to the replica was lost.
func isConnectionLoss(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// OutcomeOf decodes the end of a run. It restores the parts of the outcome on which decisions depend. Errors other than
// those of this package keep only their text.
func OutcomeOf(ended *wire.RunEnded) replica.Outcome {
	outcome := replica.Outcome{
		Verdict: verdict.Verdict(ended.GetVerdict()), Status: int(ended.GetStatus()), Complete: ended.GetWhole(),
		Refused: replica.Refusal(ended.GetRefused()), Peer: replica.Peer(ended.GetPeer()),
	}
	outcome.Load, _ = LoadOf(ended.GetLoad())
	switch {
	case ended.GetNotAdmitted():
		outcome.Err = &RefusedError{Refusal: RefusalOf(ended), Cause: ended.GetCause()}
	case ended.GetNotHeld():
		outcome.Err = ErrNotHeld
	case ended.GetLost():
		outcome.Err = errors.Join(ErrConnectionLost, io.ErrUnexpectedEOF, errors.New(ended.GetCause()))
	case ended.GetCause() != "":
		outcome.Err = errors.New(ended.GetCause())
	}
	return outcome
}

const (
	// minPackedBytes is the size from which a report is compressed. Answers are text, and most executors and leaders
	// are in different zones.
	minPackedBytes = 1 << 10
	// maxUnpackedBytes limits the size of a decompressed report.
	maxUnpackedBytes = 64 << 20
)

// packer compresses reports. It reuses its compressor, which takes more memory than a report.
type packer struct {
	writer *flate.Writer
	buffer bytes.Buffer
}

// pack returns the report in the form in which it is sent: small ones unchanged, others compressed.
func (p *packer) pack(report *wire.RunReport) (*wire.RunReport, error) {
	if proto.Size(report) < minPackedBytes {
		return report, nil
	}
	encoded, err := proto.Marshal(report)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.buffer.Reset()
	if p.writer == nil {
		if p.writer, err = flate.NewWriter(&p.buffer, flate.BestSpeed); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	p.writer.Reset(&p.buffer)
	if _, err = p.writer.Write(encoded); err != nil {
		return nil, trace.Wrap(err)
	}
	if err = p.writer.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &wire.RunReport{Packed: bytes.Clone(p.buffer.Bytes())}, nil
}

// Unpack reverses the compression of a report; an uncompressed one is returned unchanged. It returns trace.BadParameter
// if the data can't be decompressed or decoded, or exceeds maxUnpackedBytes.
func Unpack(report *wire.RunReport) (*wire.RunReport, error) {
	if len(report.GetPacked()) == 0 {
		return report, nil
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(report.GetPacked())), maxUnpackedBytes+1))
	if err != nil || len(encoded) > maxUnpackedBytes {
		return nil, trace.BadParameter("a packed report can't be inflated, or has more than %d bytes: %v", maxUnpackedBytes, err)
	}
	whole := &wire.RunReport{}
	if err = proto.Unmarshal(encoded, whole); err != nil {
		return nil, trace.BadParameter("a packed report can't be read: %v", err)
	}
	return whole, nil
}
