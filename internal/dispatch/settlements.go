package dispatch

// SettlementLimiter limits how many requests of one ledger group send the ledger their closing claim command
// (ClaimFinish, ClaimRelease) at the same time, after their callers were answered. Otherwise a ledger that returns
// after a long outage would receive thousands of such commands along with the claims of callers that still wait. The
// limit shrinks while the ledger does not answer. Commands that record an outcome go first. SettlementLimiter is not
// safe for concurrent use.
type SettlementLimiter struct {
	limit   int
	window  int // current limit of outstanding commands, 1 to limit
	running int
	waiting [2][]uint64 // request ids by priority, oldest first
}

// NewSettlementLimiter returns a limiter with at most limit outstanding commands. A limit below 1 counts as 1.
func NewSettlementLimiter(limit int) *SettlementLimiter {
	return &SettlementLimiter{limit: max(limit, 1), window: max(limit, 1)}
}

// TryAcquire reports whether the request may send its command now. If not, the request is queued and a later call of
// Release returns its id.
func (s *SettlementLimiter) TryAcquire(id uint64, kind ClaimKind) bool {
	if s.running < s.window && s.Waiting() == 0 {
		s.running++
		return true
	}
	s.waiting[settlementPriority(kind)] = append(s.waiting[settlementPriority(kind)], id)
	return false
}

// settlementPriority returns the index of the queue for a kind of command; queue 0 is served first. Outcomes come first
// because a resend of the key waits for the outcome. Releasing an attempt only helps a resend that may then run.
func settlementPriority(kind ClaimKind) int {
	if kind == ClaimFinish {
		return 0
	}
	return 1
}

// Release ends the permission of a command that has ended, and returns the ids of queued requests that may send theirs
// now. An answered command doubles the limit of outstanding commands, up to the configured one. A command of unknown
// fate halves it, down to 1.
func (s *SettlementLimiter) Release(answered bool) []uint64 {
	s.running--
	if answered {
		s.window = min(2*s.window, s.limit)
	} else {
		s.window = max(s.window/2, 1)
	}
	var granted []uint64
	for s.running < s.window && s.Waiting() > 0 {
		s.running++
		granted = append(granted, s.next())
	}
	return granted
}

// Waiting returns the number of queued commands.
func (s *SettlementLimiter) Waiting() int { return len(s.waiting[0]) + len(s.waiting[1]) }

// next removes and returns the oldest id of the highest priority. The caller checks that one is queued.
func (s *SettlementLimiter) next() uint64 {
	list := &s.waiting[0]
	if len(*list) == 0 {
		list = &s.waiting[1]
	}
	id := (*list)[0]
	*list = (*list)[1:]
	return id
}
