package poison

import (
	"slices"
	"time"
)

// suspect is one entry of a book.
type suspect struct {
	Record
	onRecord  bool            // the followed record has an entry for it
	observed  []observedCrash // crashes that the followed record does not name yet
	crashedAt time.Duration   // end of the last run that crashed here; of another process, when the book learned of it
	claims    []seenClaim     // claims on record that are not this process's own, and own runs that have not ended
	ownClaims []string        // names of the last claims that this process asked for
	proven    uint32          // crashes on record that show the request to be the cause
}

// seenClaim is a claimed run that may not have ended.
type seenClaim struct {
	name string
	at   time.Duration // when the book learned of it
}

// observedCrash is a crash that this process observed and that the record, as followed here, does not name yet.
type observedCrash struct {
	instance   string
	at         time.Duration // when the crash became known
	counted    bool          // the run was claimed, so that the record counts it already
	accepted   bool          // the control group has accepted the report
	acceptedAt time.Duration // set with accepted
}

// recordTimeout is how long an observed crash counts as one that will be on record soon. If the control group has no
// leader for longer, the leases have ended. A crash whose report is refused repeatedly must not block its request for
// ever. An accepted report is followed within this time, unless the suspect was cleared since.
const recordTimeout = 3 * time.Second

// maximumOwnClaims bounds the names of own claims that are remembered for a suspect.
const maximumOwnClaims = 8

// hasUnrecorded reports whether a recent crash would be lost if this process ended now.
func (s *suspect) hasUnrecorded(now time.Duration) bool {
	return slices.ContainsFunc(s.observed, func(crash observedCrash) bool {
		return !crash.accepted && !crash.counted && now < crash.at+recordTimeout
	})
}

// awaitsRecord reports whether the record will name a crash that it does not name yet. The control group has not
// accepted it, or has done so a moment ago.
func (s *suspect) awaitsRecord() bool {
	return slices.ContainsFunc(s.observed, func(crash observedCrash) bool { return !crash.counted })
}

// crashes returns the number of known crashes: those on record and those observed here that are not.
func (s *suspect) crashes() uint32 {
	crashes := s.Crashes
	for _, crash := range s.observed {
		if !crash.counted {
			crashes++
		}
	}
	return crashes
}

// basis returns what this process knows of the record.
func (s *suspect) basis() Basis {
	return Basis{Crashes: withoutClaims(s.Crashes, s.Claims), Claims: slices.Concat(s.Claims, s.ownClaims)}
}

// restBegan returns when the present rest began: with the last crash, or the last claim of a run that has not ended.
func (s *suspect) restBegan() time.Duration {
	began := s.crashedAt
	for _, claim := range s.claims {
		began = max(began, claim.at)
	}
	return began
}

// forgetSettled forgets the observed crashes whose reports were accepted so long ago that the followed record would
// name them, if the suspect had not been cleared or the names had not become too many.
func (s *suspect) forgetSettled(now time.Duration) {
	s.observed = slices.DeleteFunc(s.observed, func(crash observedCrash) bool { return crash.accepted && now >= crash.acceptedAt+recordTimeout })
}

// showsCrash reports whether a newer record of the suspect shows a crash that the book does not know of. Builds that
// name no claims only raise the number of crashes with a claim, which counts as a crash here.
func (s *suspect) showsCrash(record Record) bool {
	for _, instance := range record.Crashed {
		if !slices.Contains(s.Record.Crashed, instance) && !s.hasObserved(instance) {
			return true
		}
	}
	explained := len(record.Claims) != len(s.Record.Claims) || len(record.Crashed) != len(s.Record.Crashed)
	return record.Crashes > s.Record.Crashes && !explained
}

// hasObserved reports whether this process observed the crash of a back end that the record does not name yet.
func (s *suspect) hasObserved(instance string) bool {
	return slices.ContainsFunc(s.observed, func(crash observedCrash) bool { return crash.instance == instance })
}

// followClaims takes over the claims of other processes that the record names now and did not name before, and forgets
// those that have ended.
func (s *suspect) followClaims(now time.Duration, before []string) {
	s.claims = slices.DeleteFunc(s.claims, func(claim seenClaim) bool {
		return !slices.Contains(s.ownClaims, claim.name) && !slices.Contains(s.Claims, claim.name)
	})
	for _, name := range s.Claims {
		if !slices.Contains(before, name) && !slices.Contains(s.ownClaims, name) {
			s.claims = append(s.claims, seenClaim{name: name, at: now})
		}
	}
}

// spareShare is one in how many replicas of a pool may have crashed under an owed request for its first trial to begin
// without a rest.
const spareShare = 4

// mayBeTriedAtOnce reports whether an owed request may have its first trial without a rest. The rest gives the crashed
// replicas time to return before the request may take another one, which a pool needs that has few others. After a crash
// under a trial, or beside one, the request rests.
func (s *suspect) mayBeTriedAtOnce(replicas int) bool {
	crashes := int(withoutClaims(s.Crashes, s.Claims)) + len(s.observed)
	return s.proven == 0 && len(s.claims) == 0 && crashes <= TrialCrashes && spareShare*crashes <= replicas
}
