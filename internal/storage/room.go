package storage

// FreeSpace classifies the free space of a disk by the work that it allows. The values are ordered from most to least
// space.
type FreeSpace uint8

// The values of FreeSpace.
const (
	// SpaceForAll means that at least the headroom is free.
	SpaceForAll FreeSpace = iota
	// SpaceForReserved means that less than the headroom is free. Reserved groups accept commands; in other groups only
	// work that has begun is finished.
	SpaceForReserved
	// SpaceForVotes means that less than half of the headroom is free. No commands are accepted; votes, the first
	// entries of leaders and new voters are still written.
	SpaceForVotes
)

// voteReserveDivisor determines the free space that is reserved for votes: the headroom divided by it.
const voteReserveDivisor = 2

// String returns the name of the value for log lines.
func (r FreeSpace) String() string {
	switch r {
	case SpaceForAll:
		return "all"
	case SpaceForReserved:
		return "reserved"
	case SpaceForVotes:
		return "votes"
	}
	return "unknown"
}
