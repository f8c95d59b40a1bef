package linear

import (
	"fmt"
	"maps"

	"github.com/anishathalye/porcupine"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// ClaimAction is what an operation does to a key.
type ClaimAction uint8

// The actions.
const (
	BeginClaim ClaimAction = iota + 1
	FinishClaim
	ReleaseClaim
	RefuseClaim
	OrphanClaim // of Owner; record it for every key of interest
)

// ClaimInput is one operation on one key. The model has no retention: record histories in which nothing
// expires.
type ClaimInput struct {
	Action  ClaimAction
	Key     string
	Body    string // hash; of a begin or refusal
	Owner   string // of a begin or orphaning
	Attempt string
	Ticket  uint64          // of a begin
	Outcome wire.ClaimState // of a finish
	Answer  string          // body of a finish that is DONE
}

// ClaimOutput is the answer. Index is the ledger index of the answer; Answer the stored body when State is
// DONE and the answer came with it.
type ClaimOutput struct {
	Lost   bool
	State  wire.ClaimState
	Index  uint64
	Answer string
}

// claimState is one key. It is never changed in place.
type claimState struct {
	claimFields
	released map[string]bool
}

type claimFields struct {
	state          wire.ClaimState // UNSPECIFIED, GRANTED (runs), DONE or UNKNOWN_OUTCOME
	body           string
	owner          string
	attempt        string
	answer         string
	refusedIndex   uint64
	refusedUnknown bool // a refusal whose index was lost may have taken effect
}

const (
	claimIdle    = wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	claimRuns    = wire.ClaimState_CLAIM_STATE_GRANTED
	claimDone    = wire.ClaimState_CLAIM_STATE_DONE
	claimUnknown = wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
)

// ClaimModel returns the model of claims that are all unknown when the history begins. It is partitioned by
// key. It holds for histories with at most claim.MaximumReleased releases of a key, in which an attempt's
// ticket is at most the index that its gateway knew when the attempt was made.
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
	position := map[string]int{}
	var parts [][]porcupine.Operation
	for _, operation := range history {
		key := operation.Input.(ClaimInput).Key
		at, known := position[key]
		if !known {
			at = len(parts)
			position[key] = at
			parts = append(parts, nil)
		}
		parts[at] = append(parts[at], operation)
	}
	return parts
}

// stepClaim returns the states that the operation may lead to; none if the answer is wrong.
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
		if s.state == claimRuns && s.owner == operation.Owner {
			s.state, s.owner = claimUnknown, ""
		}
		return true, s
	default:
		return false, s
	}
}

// seen is what somebody who does not hold the key is told.
func (s claimState) seen(answer ClaimOutput) bool {
	if s.state == claimRuns {
		return answer.State == wire.ClaimState_CLAIM_STATE_RUNNING
	}
	return answer.State == s.state && (s.state != claimDone || answer.Answer == s.answer)
}

func (s claimState) begin(operation ClaimInput, answer ClaimOutput) (bool, claimState) {
	if s.body != "" && s.body != operation.Body {
		return answer.State == wire.ClaimState_CLAIM_STATE_OTHER_BODY, s
	}
	if s.state == claimRuns && s.attempt == operation.Attempt {
		return answer.State == claimRuns, s
	}
	if s.state != claimIdle {
		return s.seen(answer), s
	}
	refused := answer.State == wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT
	if s.released[operation.Attempt] || operation.Ticket < s.refusedIndex {
		return refused, s
	}
	if s.refusedUnknown && refused {
		return true, s
	}
	s.state, s.body = claimRuns, operation.Body
	s.owner, s.attempt = operation.Owner, operation.Attempt
	return answer.State == claimRuns, s
}

func (s claimState) finish(operation ClaimInput, answer ClaimOutput) (bool, claimState) {
	upgrade := s.state == claimUnknown && operation.Outcome == claimDone
	if s.attempt != operation.Attempt || (s.state != claimRuns && !upgrade) {
		return s.seen(answer), s
	}
	s.state, s.owner = operation.Outcome, ""
	if s.state == claimDone {
		s.answer = operation.Answer
	}
	return answer.State == s.state, s
}

func (s claimState) release(operation ClaimInput, answer ClaimOutput) (bool, claimState) {
	s = s.free(operation.Attempt)
	if s.state == claimIdle || s.state == claimRuns {
		s = s.remember(operation.Attempt)
	}
	return s.seen(answer), s
}

// free makes the key idle if the attempt holds it.
func (s claimState) free(attempt string) claimState {
	if attempt != "" && s.state == claimRuns && s.attempt == attempt {
		s.state, s.owner, s.attempt = claimIdle, "", ""
	}
	return s
}

func (s claimState) remember(attempt string) claimState {
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
	if operation.Attempt != "" && s.state == claimRuns {
		s = s.remember(operation.Attempt)
	}
	if s.state != claimIdle {
		return s.seen(answer), s
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
