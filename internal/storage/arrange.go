package storage

import (
	"math"

	"github.com/tamarindring/tamarindring/internal/statepart"
)

const (
	// minOwnFileBytes is the size from which a part has a file of its own. Each file costs a sync, so adjacent smaller
	// parts share a file.
	minOwnFileBytes = 256 << 10
	// meanSharedFileBytes is the mean size of the files that recurring parts share. One of them is written anew when a
	// part of it leaves the state, and for each snapshot until it is complete.
	meanSharedFileBytes = 1 << 20
)

// assignPartsToFiles returns the parts of a state grouped by the file that holds them. Unless inParts is set, all parts
// go into one file, which builds that do not support states in parts can read.
//
// Recurring parts share no file with other parts, which would make every snapshot write them anew.
func assignPartsToFiles(state statepart.Parts, inParts bool) []statepart.Parts {
	if len(state) == 0 {
		return nil
	}
	if !inParts {
		return []statepart.Parts{state}
	}
	var arranged []statepart.Parts
	for _, part := range state {
		if last := len(arranged) - 1; last >= 0 && mayShare(arranged[last], part) {
			arranged[last] = append(arranged[last], part)
			continue
		}
		arranged = append(arranged, statepart.Parts{part})
	}
	return arranged
}

// mayShare reports whether the next part of a state goes into the same file as the parts before it.
func mayShare(before statepart.Parts, next *statepart.Part) bool {
	last := before[len(before)-1]
	return last.Size() < minOwnFileBytes && next.Size() < minOwnFileBytes &&
		last.IsRecurring() == next.IsRecurring() && !endsFile(last)
}

// endsFile reports whether a part is the last one of a file that recurring parts share. That depends on its content only,
// so that the other files stay the same when a part leaves the state. It holds for one part among as many as fill
// meanSharedFileBytes.
func endsFile(part *statepart.Part) bool {
	share := float64(part.Size()) / meanSharedFileBytes
	return part.IsRecurring() && float64(part.Checksum()) < share*math.MaxUint64
}
