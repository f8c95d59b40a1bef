package claim

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Begin claims the exclusive right to run a key. State GRANTED permits the attempt to be sent to a back end once. A
// resend of the same command after a lost reply is granted again as long as the attempt is running. No other state
// permits a send. Begin returns an error if the command is malformed; the store is then unchanged.
func (s *Store) Begin(index uint64, command *wire.ClaimBegin) (*wire.ClaimResult, error) {
	if err := checkKey(command.GetKey(), command.GetAttempt(), command.GetBodyHash(), true); err != nil {
		return nil, trace.Wrap(err)
	}
	if command.GetOwner() == "" || len(command.GetOwner()) > MaximumIDBytes {
		return nil, trace.BadParameter("owner must have 1 to %d bytes", MaximumIDBytes)
	}
	s.advanceClock(index, command.GetNowUnixMillis())
	known := s.records[command.GetKey()]
	if known != nil {
		if known.bodyHash != "" && known.bodyHash != string(command.GetBodyHash()) {
			return resultWithState(wire.ClaimState_CLAIM_STATE_OTHER_BODY, index), nil
		}
		if known.state == running && known.attempt == command.GetAttempt() {
			return resultWithState(wire.ClaimState_CLAIM_STATE_GRANTED, index), nil
		}
		if known.state != idle && !s.isUnsafeGrantPermitted(known) {
			return known.result(index), nil
		}
	}
	if s.isStale(known, command) {
		return resultWithState(wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT, index), nil
	}
	s.grant(index, command)
	return resultWithState(wire.ClaimState_CLAIM_STATE_GRANTED, index), nil
}

// isStale reports whether an attempt at an idle or unknown key was released, arrived before a refusal, or has a ticket
// below the floor.
func (s *Store) isStale(known *record, command *wire.ClaimBegin) bool {
	if !s.unsafe.IgnoreTickets && command.GetTicket() < s.floor {
		return true
	}
	if known == nil {
		return false
	}
	if !s.unsafe.IgnoreTickets && command.GetTicket() < known.refusedIndex {
		return true
	}
	return !s.unsafe.ForgetReleases && slices.Contains(known.released, command.GetAttempt())
}

// isUnsafeGrantPermitted reports whether a disabled safety check permits granting a running or ended key.
func (s *Store) isUnsafeGrantPermitted(known *record) bool {
	if known.state == running {
		return s.unsafe.GrantTwice
	}
	return known.aged && s.unsafe.ReuseExpiredClaims
}

// grant makes the command's attempt the running one.
func (s *Store) grant(index uint64, command *wire.ClaimBegin) {
	granted := s.ensure(command.GetKey())
	if granted.state == running {
		s.stopRunning(granted)
	} else {
		s.listOf(granted).remove(granted)
	}
	granted.state, granted.aged = running, false
	granted.bodyHash = string(command.GetBodyHash())
	granted.owner, granted.attempt = command.GetOwner(), command.GetAttempt()
	granted.lastIndex, granted.changedAt = index, s.clock
	s.startRunning(granted)
}

// startRunning adds a record to the index of running claims.
func (s *Store) startRunning(r *record) {
	held := s.running[r.owner]
	if held == nil {
		held = map[string]*record{}
		s.running[r.owner] = held
	}
	held[r.key] = r
}

// stopRunning removes a record from the index of running claims. The caller sets its next state.
func (s *Store) stopRunning(r *record) {
	delete(s.running[r.owner], r.key)
	if len(s.running[r.owner]) == 0 {
		delete(s.running, r.owner)
	}
	r.owner = ""
}

// Finish stores the outcome of a granted attempt: DONE with its answer, or UNKNOWN_OUTCOME. A resend has no effect,
// except that DONE replaces an UNKNOWN_OUTCOME of the same attempt. The result is the key's state afterwards. Finish
// returns an error if the command is malformed; the store is then unchanged.
func (s *Store) Finish(index uint64, command *wire.ClaimFinish) (*wire.ClaimResult, error) {
	if err := checkKey(command.GetKey(), command.GetAttempt(), nil, false); err != nil {
		return nil, trace.Wrap(err)
	}
	done := command.GetOutcome() == wire.ClaimState_CLAIM_STATE_DONE
	if !done && command.GetOutcome() != wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME {
		return nil, trace.BadParameter("outcome must be DONE or UNKNOWN_OUTCOME")
	}
	s.advanceClock(index, command.GetNowUnixMillis())
	known := s.records[command.GetKey()]
	if known == nil {
		return resultWithState(idle, index), nil
	}
	unknownBefore := known.state == wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
	if known.attempt != command.GetAttempt() || (known.state != running && !(unknownBefore && done)) {
		return known.result(index), nil
	}
	if known.state == running {
		s.stopRunning(known)
		s.young.push(known)
	}
	known.state = command.GetOutcome()
	if done {
		known.answer = trimAnswer(command.GetAnswer())
	}
	s.startRetention(known, index)
	return resultWithState(known.state, index), nil
}

// startRetention starts the retention of a record whose attempt has just ended.
func (s *Store) startRetention(r *record, index uint64) {
	r.released = nil
	s.restartRetention(r, index)
}

// Release ends an attempt that was not sent to a back end and will not be. The attempt cannot be granted afterwards,
// even if it was not granted before; another attempt can. The result is the key's state afterwards, which is
// UNSPECIFIED if the key may be granted. Release returns an error if the command is malformed; the store is then
// unchanged.
func (s *Store) Release(index uint64, command *wire.ClaimRelease) (*wire.ClaimResult, error) {
	if err := checkKey(command.GetKey(), command.GetAttempt(), nil, false); err != nil {
		return nil, trace.Wrap(err)
	}
	s.advanceClock(index, command.GetNowUnixMillis())
	known := s.ensure(command.GetKey())
	s.releaseRunning(known, command.GetAttempt())
	if known.state == idle {
		known.rememberReleased(command.GetAttempt(), index)
		s.restartRetention(known, index)
	} else if known.state == running && known.attempt != command.GetAttempt() {
		known.rememberReleased(command.GetAttempt(), index)
		known.lastIndex = index
	}
	return known.result(index), nil
}

// releaseRunning makes a record idle if the attempt holds it.
func (s *Store) releaseRunning(r *record, attempt string) {
	if r.state != running || r.attempt != attempt {
		return
	}
	s.stopRunning(r)
	r.state, r.attempt = idle, ""
	s.young.push(r)
}

// rememberReleased stores an attempt that must not be granted. If the list is full, all attempts that arrived before
// index are refused instead.
func (r *record) rememberReleased(attempt string, index uint64) {
	if slices.Contains(r.released, attempt) {
		return
	}
	if len(r.released) >= MaximumReleased {
		r.released, r.refusedIndex = nil, index
		return
	}
	r.released = append(r.released, attempt)
}

// Refuse makes "did not run" final for every attempt of the key that arrived before this command. State UNSPECIFIED
// confirms the refusal. Any other state means that an attempt is running, ran or may have run, or that the key belongs
// to another body. STALE_ATTEMPT means that the ticket is below the floor: the key may have run and been dropped since,
// so nothing is refused. Refuse returns an error if the command is malformed; the store is then unchanged.
func (s *Store) Refuse(index uint64, command *wire.ClaimRefuse) (*wire.ClaimResult, error) {
	if err := checkKey(command.GetKey(), command.GetAttempt(), command.GetBodyHash(), false); err != nil {
		return nil, trace.Wrap(err)
	}
	s.advanceClock(index, command.GetNowUnixMillis())
	known := s.ensure(command.GetKey())
	if known.bodyHash != "" && len(command.GetBodyHash()) > 0 && known.bodyHash != string(command.GetBodyHash()) {
		return resultWithState(wire.ClaimState_CLAIM_STATE_OTHER_BODY, index), nil
	}
	if command.GetAttempt() != "" {
		s.releaseRunning(known, command.GetAttempt())
	}
	if known.state == running && command.GetAttempt() != "" {
		known.rememberReleased(command.GetAttempt(), index)
	}
	if known.state != idle {
		return known.result(index), nil
	}
	if command.GetTicket() < s.floor && !s.unsafe.RefuseBelowFloor {
		return resultWithState(wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT, index), nil
	}
	if known.bodyHash == "" {
		known.bodyHash = string(command.GetBodyHash())
	}
	known.refusedIndex, known.released = index, nil
	s.restartRetention(known, index)
	return resultWithState(idle, index), nil
}

// Orphan marks every running claim of an owner as UNKNOWN_OUTCOME. The proposer knows that the owner has ended, or
// cannot reach it, and the owner may have sent its requests. Orphan returns an error if the command is malformed; the
// store is then unchanged.
func (s *Store) Orphan(index uint64, command *wire.ClaimOrphan) (*wire.ClaimResult, error) {
	if command.GetOwner() == "" {
		return nil, trace.BadParameter("owner is missing")
	}
	held := s.running[command.GetOwner()]
	for _, key := range sortedKeys(held) {
		orphan := held[key]
		s.stopRunning(orphan)
		orphan.state = wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
		s.young.push(orphan)
		s.startRetention(orphan, index)
	}
	return resultWithState(idle, index), nil
}

// checkKey checks the fields that several commands share.
func checkKey(key, attempt string, bodyHash []byte, attemptNeeded bool) error {
	switch {
	case key == "" || len(key) > MaximumKeyBytes:
		return trace.BadParameter("key must have 1 to %d bytes", MaximumKeyBytes)
	case len(attempt) > MaximumIDBytes:
		return trace.BadParameter("attempt is longer than %d bytes", MaximumIDBytes)
	case attemptNeeded && attempt == "":
		return trace.BadParameter("attempt is missing")
	case len(bodyHash) > MaximumBodyHashBytes:
		return trace.BadParameter("body hash is longer than %d bytes", MaximumBodyHashBytes)
	}
	return nil
}
