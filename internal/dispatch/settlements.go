package dispatch

// Settlements decides which of the answered requests of one ledger group may tell the ledger now how they ended. A
// ledger that was away for long must not meet thousands of them when it is back, beside the claims of
// callers that wait: few are under way at a time, fewer still while the ledger does not answer. What frees a key or
// keeps an answer for others goes first. It is not safe for concurrent use.
type Settlements struct {
	limit   int
	window  int // most that may be under way now
	running int
	waiting [2][]uint64 // by priority, oldest first
}

// NewSettlements returns an empty set of which at most limit, one or more, are under way.
func NewSettlements(limit int) *Settlements {
	return &Settlements{limit: max(limit, 1), window: max(limit, 1)}
}

// Ask tells whether the request's command may go now. One that may not is named by a later Done.
func (s *Settlements) Ask(id uint64, kind ClaimKind) bool {
	if s.running < s.window && s.Waiting() == 0 {
		s.running++
		return true
	}
	s.waiting[settlementPriority(kind)] = append(s.waiting[settlementPriority(kind)], id)
	return false
}

// settlementPriority puts outcomes first: a resend of the key waits for one, while nobody gains by the release of an
// attempt but a resend that may run then.
func settlementPriority(kind ClaimKind) int {
	if kind == ClaimFinish {
		return 0
	}
	return 1
}

// Done takes back the permission of a command that has ended, and names those that may go now. An answered command
// doubles how many may be under way, one of unknown fate halves it.
func (s *Settlements) Done(answered bool) []uint64 {
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

// Waiting returns how many commands wait.
func (s *Settlements) Waiting() int { return len(s.waiting[0]) + len(s.waiting[1]) }

func (s *Settlements) next() uint64 {
	list := &s.waiting[0]
	if len(*list) == 0 {
		list = &s.waiting[1]
	}
	id := (*list)[0]
	*list = (*list)[1:]
	return id
}
