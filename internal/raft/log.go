package raft

import "fmt"

// entryLog holds the log since the last compaction in memory. Slices that it returns stay valid, because entries are
// never overwritten in place.
type entryLog struct {
	offset     uint64 // index of the entry before the first one held
	offsetTerm uint64
	entries    []Entry
	stable     uint64 // highest index known to be synced to this node's disk
	commit     uint64
	applying   uint64 // highest index handed to the driver for applying
	applied    uint64 // highest index that the driver has applied
}

func (l *entryLog) firstIndex() uint64 { return l.offset + 1 }

func (l *entryLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.offsetTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, and false if that entry is not held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index < l.offset || index > l.lastIndex():
		return 0, false
	case index == l.offset:
		return l.offsetTerm, true
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	held, ok := l.term(index)
	return ok && held == term
}

// slice returns the entries from low to high, both inclusive.
func (l *entryLog) slice(low, high uint64) []Entry {
	if low > high {
		return nil
	}
	from, to := low-l.offset-1, high-l.offset
	return l.entries[from:to:to]
}

// batch returns the entries from low on, up to maxBytes of data but at least one entry if there is any.
func (l *entryLog) batch(low uint64, maxBytes int) []Entry {
	size := 0
	high := low
	for ; high <= l.lastIndex(); high++ {
		size += len(l.entries[high-l.offset-1].Data)
		if size > maxBytes && high > low {
			break
		}
	}
	return l.slice(low, high-1)
}

// append adds entries at the end of the log.
func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries at and after index, which must not be committed.
func (l *entryLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("raft: truncating the log at %d would lose committed entries up to %d", index, l.commit))
	}
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// unstable returns the entries that are not known to be synced.
func (l *entryLog) unstable() []Entry { return l.slice(l.stable+1, l.lastIndex()) }

// stableTo records that the disk holds the log up to the entry with this index and term. If the log now holds another
// entry at index, it was truncated since that write began, and the call has no effect.
func (l *entryLog) stableTo(index, term uint64) {
	if index > l.stable && l.matches(index, term) {
		l.stable = index
	}
}

func (l *entryLog) commitTo(index uint64) {
	if index > l.lastIndex() {
		panic(fmt.Sprintf("raft: commit %d is past the last index %d", index, l.lastIndex()))
	}
	l.commit = max(l.commit, index)
}

// findConflictByTerm returns the highest index at or below index whose entry has at most the given term, and that
// entry's term. The two logs cannot match between the result and index, so that one rejection skips a whole term.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	for index = min(index, l.lastIndex()); index > l.offset; index-- {
		if held, _ := l.term(index); held <= term {
			return index, held
		}
	}
	held, _ := l.term(index)
	return index, held
}

// isUpToDate reports whether a log with this last index and term is at least as up to date as this one (section 5.4.1
// of the Raft paper).
func (l *entryLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	return lastTerm > l.lastTerm() || lastTerm == l.lastTerm() && lastIndex >= l.lastIndex()
}

// compact drops the entries up to index, which must be in the log.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	rest := l.slice(index+1, l.lastIndex())
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.offset, l.offsetTerm = index, term
}

// reset replaces the log by an empty one that starts after a snapshot at index.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{offset: index, offsetTerm: term, stable: index, commit: index, applying: index, applied: l.applied}
}

// dataSize returns the size in bytes of the data of the entries from low to high, both inclusive.
func (l *entryLog) dataSize(low, high uint64) int {
	size := 0
	for _, entry := range l.slice(low, high) {
		size += len(entry.Data)
	}
	return size
}
