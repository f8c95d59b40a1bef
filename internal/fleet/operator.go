package fleet

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/operator"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	changeInterval = 250 * time.Millisecond
	changeLimit    = 15 * time.Second // within which the answer to a change must be known
	resendPause    = 50 * time.Millisecond
	raceShare      = 0.2 // share of changes that two operators make concurrently on the same version
)

// tableOperator changes cells several times a second, sends each change twice and makes two operators race.
type tableOperator struct {
	client       *controlclient.Client
	evidence     *tableEvidence
	registry     *invariant.Registry
	random       *rand.Rand
	engines      []string // rows whose weight it changes
	minimumBound uint64   // least staleness bound
	number       int

	mutex      sync.Mutex
	inProgress map[string]bool // cells with a change in progress
	running    sync.WaitGroup
}

func newTableOperator(f *fleet) *tableOperator {
	made := &tableOperator{client: f.client, evidence: &f.evidence.table, registry: f.registry, inProgress: map[string]bool{},
		random: rand.New(rand.NewSource(f.config.Seed)), minimumBound: f.config.Deployment.Trainer.StalenessBound}
	for _, part := range f.engines {
		made.engines = append(made.engines, part.name)
	}
	return made
}

// run makes changes until ctx ends, then waits for the answers to those in progress.
func (o *tableOperator) run(ctx context.Context) {
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	defer o.running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.next(context.WithoutCancel(ctx))
		}
	}
}

// next starts a change of a random cell unless a change of it is in progress.
func (o *tableOperator) next(ctx context.Context) {
	row, column, value := o.draw()
	cell := row + " " + column
	o.mutex.Lock()
	taken := o.inProgress[cell]
	o.inProgress[cell] = true
	o.mutex.Unlock()
	if taken {
		return
	}
	race := column != table.ColumnStalenessBound && o.random.Float64() < raceShare
	o.number++
	number := o.number
	o.running.Go(func() {
		defer func() {
			o.mutex.Lock()
			defer o.mutex.Unlock()
			delete(o.inProgress, cell)
		}()
		if race {
			o.race(ctx, number, operator.Edit{Row: row, Column: column, To: value})
			return
		}
		o.change(ctx, number, "alice", o.evidence.latestVersion(), operator.Edit{Row: row, Column: column, To: value})
	})
}

func (o *tableOperator) draw() (row, column, value string) {
	switch o.random.Intn(4) {
	case 0:
		return poolModel, table.ColumnLiveReserve, strconv.Itoa(8 + o.random.Intn(16))
	case 1:
		return poolModel, table.ColumnStalenessBound, strconv.FormatUint(o.minimumBound+uint64(o.random.Intn(2)), 10)
	default:
		return o.engines[o.random.Intn(len(o.engines))], table.ColumnWeight, strconv.Itoa(50 + o.random.Intn(100))
	}
}

// race makes two operators change a cell on the same version. At most one change may be accepted.
func (o *tableOperator) race(ctx context.Context, number int, edit operator.Edit) {
	base := o.evidence.latestVersion()
	other := edit
	other.To += "0"
	var second bool
	var waiting sync.WaitGroup
	waiting.Go(func() { second = o.change(ctx, number, "boris", base, other) })
	first := o.change(ctx, number, "alice", base, edit)
	waiting.Wait()
	o.registry.Examine(invariant.TableNoReversal, !first || !second,
		"change %d: two changes of %s %s under version %d were both accepted", number, edit.Row, edit.Column, base)
}

// change sends a change and then resends it, as an operator does who lost the answer. It must be applied once. change
// reports whether it was accepted.
func (o *tableOperator) change(ctx context.Context, number int, author string, base uint64, edits ...operator.Edit) bool {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	plan := &operator.Plan{Base: base, Edits: edits}
	change := operator.NewChange(plan, operator.Author{Operator: author, Note: fmt.Sprintf("change %d", number)}, time.Now())
	o.evidence.recordSending(change)
	result, _, err := o.send(ctx, change, false)
	if err != nil {
		o.evidence.recordUnknown(change)
		return false
	}
	o.evidence.recordAnswer(change, result, time.Now())
	again, inForce, err := o.send(ctx, change, true)
	if err != nil {
		return accepted(result)
	}
	o.registry.Examine(invariant.TableNoReversal, again.Outcome == result.Outcome && (!accepted(result) || again.Version == result.Version),
		"change %d was answered %v version %d, then %v version %d", number, result.Outcome, result.Version, again.Outcome, again.Version)
	if accepted(result) && inForce >= result.Version {
		o.evidence.recordInForce(result.Version, time.Now())
	}
	return accepted(result)
}

// send resends a change until it is answered or ctx ends.
func (o *tableOperator) send(ctx context.Context, change *wire.TableChange, wait bool) (*wire.TableResult, uint64, error) {
	for {
		result, inForce, err := o.client.ChangeTable(ctx, change, wait)
		if err == nil || ctx.Err() != nil {
			return result, inForce, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(resendPause):
		}
	}
}

func accepted(result *wire.TableResult) bool {
	return result.GetOutcome() == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED
}
