package poison

import (
	"slices"
	"time"
)

// Record is the entry of one suspect in the record that all processes share.
type Record struct {
	Digest  Digest
	Crashes uint32   // number of back ends that crashed under it; a claimed run counts until it ends
	Crashed []string // instances of the most recent of these back ends
	Trials  []string // those of Crashed that ran the request as a trial
	Claims  []string // names of the claimed runs that have not ended
}

// Permission says how a request may run now.
type Permission uint8

// The permissions, from the weakest restriction to the strongest.
const (
	Free     Permission = iota // not suspected, no restriction
	Isolated                   // suspected: not hedged, and if possible not at a back end with other suspects
	Trial                      // may run after its run was claimed, one run at a time in the whole deployment
	Blocked                    // must not run yet
)

// String returns the name of a permission in logs.
func (p Permission) String() string {
	return [...]string{Free: "free", Isolated: "apart", Trial: "trial", Blocked: "rest"}[p]
}

// Judgment is the permission of a request and the facts behind it.
type Judgment struct {
	Permission Permission
	Crashes    uint32        // number of crashes that this process knows of
	Recorded   uint32        // number of these that are on record
	Basis      Basis         // what a claim of the run assumes to be on record
	Unrecorded bool          // this process recently saw a crash that the control group has not accepted yet
	Remaining  time.Duration // remaining time of a rest
	Proven     uint32        // crashes that show the request to be the cause; see provenCrashes
}

// Condemned reports whether the request is considered the cause of the crashes and must rest.
func (j Judgment) Condemned() bool { return j.Permission == Blocked && j.Proven > 0 }

// Book holds what one process knows of suspects: the record as the process follows it, and crashes that the process
// observed and that may not be on record yet. A rest begins with a crash, or with a claim of another process until that
// run has ended; a run that ends without a crash does not begin one. Rests are measured on the process's own clock from
// the time at which it learned of the crash or claim. This avoids comparing the clocks of two processes; a process that
// learns of a crash late applies the rest for longer. Book is not safe for concurrent use.
type Book struct {
	settings Settings
	suspects map[Digest]*suspect
}

// NewBook returns an empty book.
func NewBook(settings Settings) *Book {
	return &Book{settings: settings.WithDefaults(), suspects: map[Digest]*suspect{}}
}

// Settings returns the book's settings with defaults filled in.
func (b *Book) Settings() Settings { return b.settings }

// Empty reports whether the book has no suspects, so that every request is free.
func (b *Book) Empty() bool { return len(b.suspects) == 0 }

// Len returns the number of suspects.
func (b *Book) Len() int { return len(b.suspects) }

// Follow replaces the followed record by records, which must be the whole record. A suspect that was on record and no
// longer is becomes free. A suspect that was never on record stays as long as it has observed crashes.
func (b *Book) Follow(now time.Duration, records []Record) {
	named := make(map[Digest]bool, len(records))
	for _, record := range records {
		named[record.Digest] = true
		b.follow(now, record)
	}
	for digest, entry := range b.suspects {
		if named[digest] {
			continue
		}
		entry.forgetSettled(now)
		if entry.onRecord || len(entry.observed) == 0 {
			delete(b.suspects, digest)
		}
	}
	for _, record := range records {
		b.suspects[record.Digest].proven = provenCrashes(record, records)
	}
}

// follow takes over the entry of one suspect and forgets the observed crashes that it names.
func (b *Book) follow(now time.Duration, record Record) {
	entry := b.suspects[record.Digest]
	if entry == nil {
		entry = &suspect{crashedAt: now}
		b.suspects[record.Digest] = entry
	}
	before := entry.Record
	if entry.showsCrash(record) {
		entry.crashedAt = now
	}
	entry.Record, entry.onRecord = record, true
	entry.observed = slices.DeleteFunc(entry.observed, func(crash observedCrash) bool { return slices.Contains(record.Crashed, crash.instance) })
	entry.forgetSettled(now)
	entry.followClaims(now, before.Claims)
}

// ClaimSent notes that this process asks for the claim of a run. Until ClaimEnded, the run may be in progress.
func (b *Book) ClaimSent(now time.Duration, digest Digest, name string) {
	entry := b.suspects[digest]
	if entry == nil {
		return
	}
	entry.claims = append(entry.claims, seenClaim{name: name, at: now})
	entry.ownClaims = append(entry.ownClaims, name)
	entry.ownClaims = entry.ownClaims[max(len(entry.ownClaims)-maximumOwnClaims, 0):]
}

// ClaimEnded notes that a claimed run of this process has ended, or was not begun. If the record still names the claim,
// no run stands behind it.
func (b *Book) ClaimEnded(digest Digest, name string) {
	if entry := b.suspects[digest]; entry != nil {
		entry.claims = slices.DeleteFunc(entry.claims, func(claim seenClaim) bool { return claim.name == name })
	}
}

// Crash is a crash of a back end that this process observed.
type Crash struct {
	Instance string
	// EndedAt is when the run under which the back end crashed ended. The rest counts from then, and not from when the
	// crash became known, by which time the back end may be back.
	EndedAt time.Duration
	Counted bool // the run was claimed, so that the record counts the crash already
}

// Crashed notes that a back end crashed under a request. The crash counts here until the record includes it. Crashed
// returns the number of crashes of the request that the book knows of.
func (b *Book) Crashed(now time.Duration, digest Digest, crash Crash) uint32 {
	entry := b.suspects[digest]
	if entry == nil {
		entry = &suspect{Record: Record{Digest: digest}}
		b.suspects[digest] = entry
	}
	if !entry.hasObserved(crash.Instance) && !slices.Contains(entry.Record.Crashed, crash.Instance) {
		entry.observed = append(entry.observed, observedCrash{instance: crash.Instance, at: now, counted: crash.Counted && entry.onRecord})
		entry.crashedAt = max(entry.crashedAt, crash.EndedAt)
	}
	return entry.crashes()
}

// Recorded notes that the control group has accepted the report of a crash that was noted with Crashed.
func (b *Book) Recorded(now time.Duration, digest Digest, instance string) {
	entry := b.suspects[digest]
	if entry == nil {
		return
	}
	for position := range entry.observed {
		if crash := &entry.observed[position]; crash.instance == instance && !crash.accepted {
			crash.accepted, crash.acceptedAt = true, now
		}
	}
}

// Lost notes that a crash noted with Crashed will not be on record because the record is full. It no longer counts.
func (b *Book) Lost(digest Digest, instance string) {
	entry := b.suspects[digest]
	if entry == nil {
		return
	}
	entry.observed = slices.DeleteFunc(entry.observed, func(crash observedCrash) bool { return crash.instance == instance })
	if !entry.onRecord && len(entry.observed) == 0 {
		delete(b.suspects, digest)
	}
}

// UnrecordedRest is the rest of a suspect with crashes that were observed here and are not on record.
const UnrecordedRest = time.Second

// Judge returns the permission of a request now. An owed request never rests for longer than its rest after the last
// crash or claim, whatever the record holds.
func (b *Book) Judge(now time.Duration, digest Digest, owed bool) Judgment {
	return b.judge(now, digest, owed, 0)
}

// JudgeOwed is Judge for an owed request that would run in a pool of the given number of replicas.
func (b *Book) JudgeOwed(now time.Duration, digest Digest, replicas int) Judgment {
	return b.judge(now, digest, true, replicas)
}

func (b *Book) judge(now time.Duration, digest Digest, owed bool, replicas int) Judgment {
	entry := b.suspects[digest]
	if entry == nil {
		return Judgment{}
	}
	entry.forgetSettled(now)
	if !entry.onRecord && len(entry.observed) == 0 {
		delete(b.suspects, digest)
		return Judgment{}
	}
	judged := Judgment{Permission: Isolated, Crashes: entry.crashes(), Recorded: entry.Crashes, Unrecorded: entry.hasUnrecorded(now), Proven: entry.proven,
		Basis: entry.basis()}
	if judged.Crashes < TrialCrashes {
		return judged
	}
	judged.Permission = Trial
	left := entry.restBegan() + b.settings.restAfter(judged.Crashes, entry.proven, owed) - now
	if !owed && entry.awaitsRecord() {
		left = max(left, UnrecordedRest) // a run cannot be claimed before the crashes are on record
	}
	if owed && entry.mayBeTriedAtOnce(replicas) {
		left = 0
	}
	if left > 0 {
		judged.Permission, judged.Remaining = Blocked, left
	}
	return judged
}

// Outdated returns the entries on record whose retention has ended, sorted by digest.
func (b *Book) Outdated(now time.Duration) []Record {
	var outdated []Record
	for _, entry := range b.suspects {
		if entry.onRecord && now >= entry.restBegan()+b.settings.retentionAfter(entry.crashes(), entry.proven) {
			outdated = append(outdated, entry.Record)
		}
	}
	slices.SortFunc(outdated, func(a, b Record) int { return compareDigests(a.Digest, b.Digest) })
	return outdated
}

func compareDigests(a, b Digest) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
