package linear

import (
	"fmt"
	"maps"

	"github.com/anishathalye/porcupine"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// ClaimAction is the kind of an operation on a key.
type ClaimAction uint8

// The actions.
const (
	BeginClaim ClaimAction = iota + 1
	FinishClaim
	ReleaseClaim
	RefuseClaim
	OrphanClaim // of all keys of Owner; record it for every key of interest
)

// ClaimInput is one operation on one key. The model has no retention, so record only histories in which nothing
// expires.
type ClaimInput struct {
	Action  ClaimAction
	Key     string
	Body    string // hash of the request body; of a begin or refusal
	Owner   string // of a begin or orphan operation
	Attempt string
	Ticket  uint64          // of a begin
	Outcome wire.ClaimState // of a finish
	Answer  string          // body of the answer; of a finish with outcome DONE
}

// ClaimOutput is the result of an operation. Lost is set if it was lost. Index is the ledger index of the result.
// Answer is the stored body if State is DONE and the result included it.
type ClaimOutput struct {
	Lost   bool
	State  wire.ClaimState
	Index  uint64
	Answer string
}

// claimState is the modelled state of one key. It is immutable.
type claimState struct {
	claimFields
	released map[string]bool // attempts that were released
}

// claimFields is the comparable part of a claimState.
type claimFields struct {
	state          wire.ClaimState // claimIdle, claimRunning, claimDone or claimUnknown
	body           string
	owner          string
	attempt        string
	answer         string
	refusedIndex   uint64
	refusedUnknown bool // a refusal whose result was lost may have taken effect at an unknown index
}

const (
	claimIdle    = wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	claimRunning = wire.ClaimState_CLAIM_STATE_GRANTED
	claimDone    = wire.ClaimState_CLAIM_STATE_DONE
	claimUnknown = wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
)

// ClaimModel returns the model of claims, partitioned by key. No key is known when the history begins. The model is
// valid for histories with at most claim.MaximumReleased releases of a key, in which an attempt's ticket is at most the
// index that its gateway knew when it made the attempt.
func ClaimModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionClaims,
		Init:      func() []any { return []any{claimState{}} },
		Step:      stepClaim,
		Equal:     func(a, b any) bool { return equalClaims(a.(claimState), b.(claimState)) },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %+v", input, output)
		},
	}
	return model.ToModel()
}

func equalClaims(a, b claimState) bool {
	return a.claimFields == b.claimFields && maps.Equal(a.released, b.released)
}

func partitionClaims(history []porcupine.Operation) [][]porcupine.Operation {
	positions := map[string]int{}
	var parts [][]porcupine.Operation
	for _, operation := range history {
		key := operation.Input.(ClaimInput).Key
		index, known := positions[key]
		if !known {
			index = len(parts)
			positions[key] = index
			parts = append(parts, nil)
		}
		parts[index] = append(parts[index], operation)
	}
	return parts
}

// stepClaim returns the possible states after the operation, or none if its result is wrong. A begin whose result was
// lost has two if a refusal at an unknown index may have made the attempt stale.
func stepClaim(state, input, output any) []any {
	current, operation, answer := state.(claimState), input.(ClaimInput), output.(ClaimOutput)
	if operation.Action == BeginClaim && answer.Lost && current.refusedUnknown {
		_, granted := current.begin(operation, answer)
		return []any{current, granted}
	}
	allowed, next := current.step(operation, answer)
	if !allowed && !answer.Lost {
		return nil
	}
	return []any{next}
}

// step returns whether the result is correct and the state after the operation.
func (s claimState) step(operation ClaimInput, answer ClaimOutput) (bool, claimState) {
	switch operation.Action {
	case BeginClaim:
		return s.begin(operation, answer)
	case FinishClaim:
		return s.finish(operation, answer)
	case ReleaseClaim:
		return s.release(operation, answer)
	case RefuseClaim:
		return s.refuse(operation, answer)
	case OrphanClaim:
		if s.state == claimRunning && s.owner == operation.Owner {
			s.state, s.owner = claimUnknown, ""
		}
		return true, s
	default:
		return false, s
	}
}

// isSeenAs reports whether the result is correct for a caller that does not hold the key.
func (s claimState) isSeenAs(answer ClaimOutput) bool {
	if s.state == claimRunning {
		return answer.State == wire.ClaimState_CLAIM_STATE_RUNNING
	}
	return answer.State == s.state && (s.state != claimDone || answer.Answer == s.answer)
}

func (s claimState) begin(operation ClaimInput, answer ClaimOutput) (bool, claimState) {
	if s.body != "" && s.body != operation.Body {
		return answer.State == wire.ClaimState_CLAIM_STATE_OTHER_BODY, s
	}
	if s.state == claimRunning && s.attempt == operation.Attempt {
		return answer.State == claimRunning, s
	}
	if s.state != claimIdle {
		return s.isSeenAs(answer), s
	}
	refused := answer.State == wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT
	if s.released[operation.Attempt] || operation.Ticket < s.refusedIndex {
		return refused, s
	}
	if s.refusedUnknown && refused {
		return true, s
	}
	s.state, s.body = claimRunning, operation.Body
	s.owner, s.attempt = operation.Owner, operation.Attempt
	return answer.State == claimRunning, s
}

func (s claimState) finish(operation ClaimInput, answer ClaimOutput) (bool, claimState) {
	upgrade := s.state == claimUnknown && operation.Outcome == claimDone
	if s.attempt != operation.Attempt || (s.state != claimRunning && !upgrade) {
		return s.isSeenAs(answer), s
	}
	s.state, s.owner = operation.Outcome, ""
	if s.state == claimDone {
		s.answer = operation.Answer
	}
	return answer.State == s.state, s
}

func (s claimState) release(operation ClaimInput, answer ClaimOutput) (bool, claimState) {
	s = s.free(operation.Attempt)
	if s.state == claimIdle || s.state == claimRunning {
		s = s.withReleased(operation.Attempt)
	}
	return s.isSeenAs(answer), s
}

// free returns the state with the key idle if the attempt holds it.
func (s claimState) free(attempt string) claimState {
	if attempt != "" && s.state == claimRunning && s.attempt == attempt {
		s.state, s.owner, s.attempt = claimIdle, "", ""
	}
	return s
}

// withReleased returns the state with the attempt among the released ones.
func (s claimState) withReleased(attempt string) claimState {
	released := maps.Clone(s.released)
	if released == nil {
		released = map[string]bool{}
	}
	released[attempt] = true
	s.released = released
	return s
}

func (s claimState) refuse(operation ClaimInput, answer ClaimOutput) (bool, claimState) {
	if s.body != "" && operation.Body != "" && s.body != operation.Body {
		return answer.State == wire.ClaimState_CLAIM_STATE_OTHER_BODY, s
	}
	s = s.free(operation.Attempt)
	if operation.Attempt != "" && s.state == claimRunning {
		s = s.withReleased(operation.Attempt)
	}
	if s.state != claimIdle {
		return s.isSeenAs(answer), s
	}
	if s.body == "" {
		s.body = operation.Body
	}
	if answer.Lost {
		s.refusedUnknown = true
	}
	s.refusedIndex = max(s.refusedIndex, answer.Index)
	return answer.State == claimIdle, s
}
