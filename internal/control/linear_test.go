package control

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/tamarindring/tamarindring/internal/claim"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/state/linear"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	historyWorkers = 4
	historySeed    = 20261202
	unknownReturn  = int64(1) << 60 // return time of an operation whose result is unknown
	checkTimeout   = time.Minute    // ends a check that would never end, which fails the test
)

// history records the operations of several clients of one cluster.
type history struct {
	start      time.Time
	finished   atomic.Int64 // operations
	mutex      sync.Mutex
	operations []porcupine.Operation
}

// record runs one operation and records it. do returns the operation's output, and false if the output is unknown.
func (h *history) record(worker int, input any, lost any, do func(ctx context.Context) (any, bool)) any {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	call := time.Since(h.start).Nanoseconds()
	output, known := do(ctx)
	returned := time.Since(h.start).Nanoseconds()
	if !known {
		output, returned = lost, unknownReturn
	}
	h.add(porcupine.Operation{ClientId: worker, Input: input, Output: output, Call: call, Return: returned})
	h.finished.Add(1)
	return output
}

func (h *history) add(operation porcupine.Operation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations = append(h.operations, operation)
}

// runDisturbed runs the workers and in the meantime kills and restarts one node after the other, each after a further
// part of the operations.
func (h *history) runDisturbed(c *cluster, operations int, work func(worker int)) {
	c.t.Helper()
	var running sync.WaitGroup
	for worker := range historyWorkers {
		running.Go(func() { work(worker) })
	}
	for position := range c.servers {
		reach := func(part int) {
			eventually(c.t, "the clients to make progress", func() bool { return h.finished.Load() >= int64(part*operations/8) })
		}
		reach(2*position + 1)
		c.kill(position)
		reach(2*position + 2)
		c.start(position, nil)
	}
	running.Wait()
}

func checkHistory(t *testing.T, model porcupine.Model, operations []porcupine.Operation, want porcupine.CheckResult) {
	t.Helper()
	if result := porcupine.CheckOperationsTimeout(model, operations, checkTimeout); result != want {
		t.Errorf("the history of %d operations is %s, want %s", len(operations), result, want)
	}
}

// claimWorker claims keys and ends the claims in all possible ways.
type claimWorker struct {
	history *history
	client  *controlclient.Client
	random  *rand.Rand
	number  int
	granted int
}

func (w *claimWorker) do(input linear.ClaimInput, command *wire.Command) linear.ClaimOutput {
	group := w.client.ClaimGroup(input.Key)
	call := time.Since(w.history.start).Nanoseconds()
	output := w.history.record(w.number, input, linear.ClaimOutput{Lost: true}, func(ctx context.Context) (any, bool) {
		result, err := w.client.Execute(ctx, group, command)
		known := result.GetClaim()
		return linear.ClaimOutput{State: known.GetState(), Index: known.GetIndex(), Answer: string(known.GetAnswer().GetBody())}, err == nil
	})
	if input.Action == linear.ReleaseClaim || input.Action == linear.RefuseClaim {
		// The client resends a command whose reply was lost, so that an earlier copy may have taken effect as well.
		w.history.add(porcupine.Operation{ClientId: w.number, Input: input, Output: linear.ClaimOutput{Lost: true}, Call: call, Return: unknownReturn})
	}
	return output.(linear.ClaimOutput)
}

// attempt claims a key and then finishes, releases or refuses the claim. It refuses if the claim was not granted.
func (w *claimWorker) attempt(key string, number int) {
	input := linear.ClaimInput{Key: key, Attempt: fmt.Sprintf("%s/%d/%d", key, w.number, number),
		Owner: fmt.Sprint("owner-", w.number), Body: "body", Ticket: w.client.LearnedIndex(w.client.ClaimGroup(key))}
	input.Answer = "answer-" + input.Attempt
	begin, finish, release, refuse := input, input, input, input
	begin.Action, finish.Action, release.Action, refuse.Action = linear.BeginClaim, linear.FinishClaim, linear.ReleaseClaim, linear.RefuseClaim
	result := w.do(begin, &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{
		Key: key, BodyHash: []byte(input.Body), Owner: input.Owner, Attempt: input.Attempt, Ticket: input.Ticket}}})
	choice := w.random.Intn(4)
	if result.State == wire.ClaimState_CLAIM_STATE_GRANTED && !result.Lost {
		w.granted++
	} else {
		choice = 3
	}
	switch choice {
	case 0:
		finish.Outcome = wire.ClaimState_CLAIM_STATE_DONE
		w.do(finish, &wire.Command{Kind: &wire.Command_ClaimFinish{ClaimFinish: &wire.ClaimFinish{
			Key: key, Attempt: input.Attempt, Outcome: finish.Outcome, Answer: &wire.Answer{Body: []byte(input.Answer)}}}})
	case 1, 2:
		w.do(release, &wire.Command{Kind: &wire.Command_ClaimRelease{ClaimRelease: &wire.ClaimRelease{Key: key, Attempt: input.Attempt}}})
	default:
		w.do(refuse, &wire.Command{Kind: &wire.Command_ClaimRefuse{ClaimRefuse: &wire.ClaimRefuse{
			Key: key, BodyHash: []byte(input.Body), Attempt: input.Attempt, Ticket: input.Ticket}}})
	}
}

// TestClaimsOfServersAreLinearizable checks the history of clients that compete for keys while each node is killed and
// restarted. A falsified history must fail the check.
func TestClaimsOfServersAreLinearizable(t *testing.T) {
	const keys, attempts = 24, claim.MaximumReleased / historyWorkers
	c := startCluster(t)
	recorded := &history{start: time.Now()}
	workers := make([]*claimWorker, historyWorkers)
	for number := range workers {
		workers[number] = &claimWorker{history: recorded, client: c.client(controlclient.Config{}),
			random: rand.New(rand.NewSource(int64(historySeed + number))), number: number}
	}
	recorded.runDisturbed(c, historyWorkers*keys*attempts*2, func(worker int) {
		for key := range keys {
			for attempt := range attempts {
				workers[worker].attempt(fmt.Sprint("key-", key), attempt)
			}
		}
	})
	granted := 0
	for _, worker := range workers {
		granted += worker.granted
	}
	if granted == 0 {
		t.Fatal("no claim was granted")
	}
	checkHistory(t, linear.ClaimModel(), recorded.operations, porcupine.Ok)
	checkHistory(t, linear.ClaimModel(), falsifyClaims(t, recorded.operations), porcupine.Illegal)
}

// falsifyClaims returns a copy of a history in which one claim of a finished key is granted.
func falsifyClaims(t *testing.T, operations []porcupine.Operation) []porcupine.Operation {
	t.Helper()
	falsified := append([]porcupine.Operation(nil), operations...)
	for position := range falsified {
		output := falsified[position].Output.(linear.ClaimOutput)
		if output.State == wire.ClaimState_CLAIM_STATE_DONE && falsified[position].Input.(linear.ClaimInput).Action == linear.BeginClaim {
			output.State = wire.ClaimState_CLAIM_STATE_GRANTED
			falsified[position].Output = output
			return falsified
		}
	}
	t.Fatal("the history has no claim of a finished key")
	return nil
}

var historyCells = map[linear.Cell]string{{Row: "copy", Column: "weight"}: "1", {Row: "copy", Column: "live_room"}: "2"}

// tableWorker changes cells against versions that are partly old, resends changes, and reads the table.
type tableWorker struct {
	history  *history
	client   *controlclient.Client
	random   *rand.Rand
	number   int
	version  uint64 // highest version seen
	last     linear.TableInput
	outcomes map[wire.TableOutcome]int
}

func (w *tableWorker) step(number int) {
	switch choice := w.random.Intn(6); {
	case choice == 0:
		w.read()
	case choice == 1 && w.last.ChangeID != "":
		w.change(w.last)
	default:
		column := []string{"weight", "live_room"}[w.random.Intn(2)]
		w.last = linear.TableInput{ChangeID: fmt.Sprintf("%d/%d", w.number, number), BaseVersion: w.version,
			Set: map[linear.Cell]string{{Row: "copy", Column: column}: fmt.Sprint(1 + w.random.Intn(60))}}
		w.change(w.last)
	}
}

func (w *tableWorker) change(input linear.TableInput) {
	change := &wire.TableChange{ChangeId: input.ChangeID, BaseVersion: input.BaseVersion, Operator: "operator"}
	for cell, value := range input.Set {
		change.Cells = append(change.Cells, &wire.CellChange{Row: cell.Row, Column: cell.Column, Value: value})
	}
	output := w.history.record(w.number, input, linear.TableOutput{Lost: true}, func(ctx context.Context) (any, bool) {
		result, _, err := w.client.ChangeTable(ctx, change, false)
		return linear.TableOutput{Outcome: result.GetOutcome(), Version: result.GetVersion()}, err == nil
	}).(linear.TableOutput)
	w.version = max(w.version, output.Version)
	w.outcomes[output.Outcome]++
}

func (w *tableWorker) read() {
	output := w.history.record(w.number, linear.TableInput{}, linear.TableOutput{Lost: true}, func(ctx context.Context) (any, bool) {
		view, err := w.client.Query(ctx, controlGroup, &wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{}}})
		output := linear.TableOutput{Version: view.GetTable().GetToVersion(), Cells: map[linear.Cell]string{}}
		for _, row := range view.GetTable().GetRows() {
			for _, cell := range row.GetCells() {
				if cell.GetColumn() != "kind" {
					output.Cells[linear.Cell{Row: row.GetName(), Column: cell.GetColumn()}] = cell.GetValue()
				}
			}
		}
		return output, err == nil
	}).(linear.TableOutput)
	w.version = max(w.version, output.Version)
}

// TestTableOfServersIsLinearizable checks the history of operators that compete for cells while each node is killed and
// restarted. A falsified history must fail the check.
func TestTableOfServersIsLinearizable(t *testing.T) {
	const steps = 40
	c := startCluster(t)
	base := poolChange("base", 0, "1")
	base.Cells = append(base.Cells, &wire.CellChange{Row: "copy", Column: "live_room", Value: "2"})
	version, _ := mustAccept(t, c.client(controlclient.Config{}), base, false)
	recorded := &history{start: time.Now()}
	workers := make([]*tableWorker, historyWorkers)
	for number := range workers {
		workers[number] = &tableWorker{history: recorded, client: c.client(controlclient.Config{}), version: version,
			random: rand.New(rand.NewSource(int64(historySeed + number))), number: number, outcomes: map[wire.TableOutcome]int{}}
	}
	recorded.runDisturbed(c, historyWorkers*steps, func(worker int) {
		for number := range steps {
			workers[worker].step(number)
		}
	})
	outcomes := map[wire.TableOutcome]int{}
	for _, worker := range workers {
		for outcome, count := range worker.outcomes {
			outcomes[outcome] += count
		}
	}
	if outcomes[wire.TableOutcome_TABLE_OUTCOME_ACCEPTED] == 0 || outcomes[wire.TableOutcome_TABLE_OUTCOME_CONFLICT] == 0 {
		t.Fatalf("want accepted changes and conflicts, got the outcomes %v", outcomes)
	}
	checkHistory(t, linear.TableModel(version, historyCells), recorded.operations, porcupine.Ok)
	checkHistory(t, linear.TableModel(version, historyCells), falsifyTable(recorded.operations), porcupine.Illegal)
}

// falsifyTable returns a copy of a history in which one conflict is an accepted change.
func falsifyTable(operations []porcupine.Operation) []porcupine.Operation {
	falsified := append([]porcupine.Operation(nil), operations...)
	for position := range falsified {
		output := falsified[position].Output.(linear.TableOutput)
		if output.Outcome == wire.TableOutcome_TABLE_OUTCOME_CONFLICT {
			output.Outcome = wire.TableOutcome_TABLE_OUTCOME_ACCEPTED
			falsified[position].Output = output
			break
		}
	}
	return falsified
}
