package raft

import "fmt"

// entryLog is the log since the last compaction, in memory. Slices that it hands out stay valid: entries
// are never overwritten in place.
type entryLog struct {
	offset     uint64 // index before the first entry held
	offsetTerm uint64
	entries    []Entry
	stable     uint64 // highest index known to be synced to this node's disk
	commit     uint64
	handed     uint64 // highest index given to the driver for applying
	applied    uint64 // highest index that the driver has applied
}

func (l *entryLog) first() uint64 { return l.offset + 1 }

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.offsetTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, if it is still held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index < l.offset || index > l.last():
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

// slice returns the entries from low to high, both included.
func (l *entryLog) slice(low, high uint64) []Entry {
	if low > high {
		return nil
	}
	from, to := low-l.offset-1, high-l.offset
	return l.entries[from:to:to]
}

// batch returns entries from low on, at least one if there is any, up to maxBytes of data.
func (l *entryLog) batch(low uint64, maxBytes int) []Entry {
	size := 0
	high := low
	for ; high <= l.last(); high++ {
		size += len(l.entries[high-l.offset-1].Data)
		if size > maxBytes && high > low {
			break
		}
	}
	return l.slice(low, high-1)
}

// append adds entries at the end.
func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// cut drops the entries at and after index, which must not be committed.
func (l *entryLog) cut(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("raft: cutting the log at %d would lose committed entries up to %d", index, l.commit))
	}
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// unstable returns the entries not known to be synced.
func (l *entryLog) unstable() []Entry { return l.slice(l.stable+1, l.last()) }

// stableTo notes that the disk holds the log up to the entry of this index and term. A different entry
// that stands there by now says that the log was cut since, and nothing is concluded.
func (l *entryLog) stableTo(index, term uint64) {
	if index > l.stable && l.matches(index, term) {
		l.stable = index
	}
}

func (l *entryLog) commitTo(index uint64) {
	if index > l.last() {
		panic(fmt.Sprintf("raft: commit %d is past the last index %d", index, l.last()))
	}
	l.commit = max(l.commit, index)
}

// lastNotAfter returns the highest index at or below index whose term is at most term. Both logs agree on
// nothing between that and index, so one round of rejection skips a whole term.
func (l *entryLog) lastNotAfter(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.offset; index-- {
		if held, _ := l.term(index); held <= term {
			return index, held
		}
	}
	held, _ := l.term(index)
	return index, held
}

// upToDate reports whether a log that ends with this index and term holds all that this one does.
func (l *entryLog) upToDate(lastIndex, lastTerm uint64) bool {
	return lastTerm > l.lastTerm() || lastTerm == l.lastTerm() && lastIndex >= l.last()
}

// compact drops the entries up to index, which the caller knows to be held.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	rest := l.slice(index+1, l.last())
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.offset, l.offsetTerm = index, term
}

// reset makes the log one that starts after a snapshot; what it held is gone.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{offset: index, offsetTerm: term, stable: index, commit: index, handed: index, applied: l.applied}
}

// bytes returns the size of the data of the entries from low to high.
func (l *entryLog) bytes(low, high uint64) int {
	size := 0
	for _, entry := range l.slice(low, high) {
		size += len(entry.Data)
	}
	return size
}
