package claim

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Begin asks for the only right to run a key. State GRANTED permits the attempt to be sent to a back end,
// once; a resend of the same command after a lost reply gets it again as long as the attempt still runs.
// Every other state permits nothing. Errors: malformed command, nothing changed.
func (s *Store) Begin(index uint64, command *wire.ClaimBegin) (*wire.ClaimResult, error) {
	if err := checkKey(command.GetKey(), command.GetAttempt(), command.GetBodyHash(), true); err != nil {
		return nil, trace.Wrap(err)
	}
	if command.GetOwner() == "" || len(command.GetOwner()) > MaximumIDBytes {
		return nil, trace.BadParameter("owner must have 1 to %d bytes", MaximumIDBytes)
	}
	s.tick(index, command.GetNowUnixMillis())
	known := s.records[command.GetKey()]
	if known != nil {
		if known.bodyHash != "" && known.bodyHash != string(command.GetBodyHash()) {
			return answerOnly(wire.ClaimState_CLAIM_STATE_OTHER_BODY, index), nil
		}
		if known.state == running && known.attempt == command.GetAttempt() {
			return answerOnly(wire.ClaimState_CLAIM_STATE_GRANTED, index), nil
		}
		if known.state != idle && !s.mutatedGrant(known) {
			return known.result(index), nil
		}
	}
	if s.stale(known, command) {
		return answerOnly(wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT, index), nil
	}
	s.grant(index, command)
	return answerOnly(wire.ClaimState_CLAIM_STATE_GRANTED, index), nil
}

// stale reports whether an attempt at an idle or unknown key was released, or arrived before a refusal or
// before the store's memory begins.
func (s *Store) stale(known *record, command *wire.ClaimBegin) bool {
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

// mutatedGrant reports whether a switched-off safety step lets a held or finished key be granted.
func (s *Store) mutatedGrant(known *record) bool {
	if known.state == running {
		return s.unsafe.GrantTwice
	}
	return known.aged && s.unsafe.ReuseExpiredClaims
}

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
	granted.lastIndex, granted.at = index, s.clock
	s.startRunning(granted)
}

func (s *Store) startRunning(r *record) {
	held := s.running[r.owner]
	if held == nil {
		held = map[string]*record{}
		s.running[r.owner] = held
	}
	held[r.key] = r
}

// stopRunning takes a record out of the running ones; the caller sets its next state.
func (s *Store) stopRunning(r *record) {
	delete(s.running[r.owner], r.key)
	if len(s.running[r.owner]) == 0 {
		delete(s.running, r.owner)
	}
	r.owner = ""
}

// Finish stores how a granted attempt ended: DONE with its answer, or UNKNOWN_OUTCOME. A resend changes
// nothing, and DONE may still replace the UNKNOWN_OUTCOME of the same attempt. The result is the key's
// state afterwards. Errors: malformed command, nothing changed.
func (s *Store) Finish(index uint64, command *wire.ClaimFinish) (*wire.ClaimResult, error) {
	if err := checkKey(command.GetKey(), command.GetAttempt(), nil, false); err != nil {
		return nil, trace.Wrap(err)
	}
	done := command.GetOutcome() == wire.ClaimState_CLAIM_STATE_DONE
	if !done && command.GetOutcome() != wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME {
		return nil, trace.BadParameter("outcome must be DONE or UNKNOWN_OUTCOME")
	}
	s.tick(index, command.GetNowUnixMillis())
	known := s.records[command.GetKey()]
	if known == nil {
		return answerOnly(idle, index), nil
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
		known.answer = boundAnswer(command.GetAnswer())
	}
	s.settle(known, index)
	return answerOnly(known.state, index), nil
}

// settle starts the retention of a record that just ended.
func (s *Store) settle(r *record, index uint64) {
	r.released = nil
	s.touch(r, index)
}

// Release ends an attempt that was never sent to a back end and never will be. The attempt cannot be
// granted afterwards, whether or not it was before; another attempt can. The result is the key's state
// afterwards; UNSPECIFIED if it may be granted. Errors: malformed command, nothing changed.
func (s *Store) Release(index uint64, command *wire.ClaimRelease) (*wire.ClaimResult, error) {
	if err := checkKey(command.GetKey(), command.GetAttempt(), nil, false); err != nil {
		return nil, trace.Wrap(err)
	}
	s.tick(index, command.GetNowUnixMillis())
	known := s.ensure(command.GetKey())
	s.releaseRunning(known, command.GetAttempt())
	if known.state == idle {
		known.rememberReleased(command.GetAttempt(), index)
		s.touch(known, index)
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

// Refuse makes "did not run" final for every attempt of the key that arrived before this command. State
// UNSPECIFIED means that it is; any other that an attempt runs, ran or may have run, or that the key
// belongs to another body. STALE_ATTEMPT says that the ticket is below the floor: the key may have run and
// been dropped since, so nothing is refused. Errors: malformed command, nothing changed.
func (s *Store) Refuse(index uint64, command *wire.ClaimRefuse) (*wire.ClaimResult, error) {
	if err := checkKey(command.GetKey(), command.GetAttempt(), command.GetBodyHash(), false); err != nil {
		return nil, trace.Wrap(err)
	}
	s.tick(index, command.GetNowUnixMillis())
	known := s.ensure(command.GetKey())
	if known.bodyHash != "" && len(command.GetBodyHash()) > 0 && known.bodyHash != string(command.GetBodyHash()) {
		return answerOnly(wire.ClaimState_CLAIM_STATE_OTHER_BODY, index), nil
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
		return answerOnly(wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT, index), nil
	}
	if known.bodyHash == "" {
		known.bodyHash = string(command.GetBodyHash())
	}
	known.refusedIndex, known.released = index, nil
	s.touch(known, index)
	return answerOnly(idle, index), nil
}

// Orphan marks every running claim of an owner as UNKNOWN_OUTCOME: the owner is known to be dead, or cannot
// be reached and may have sent its requests. Errors: malformed command, nothing changed.
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
		s.settle(orphan, index)
	}
	return answerOnly(idle, index), nil
}

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
