package storage

// Room classifies the free space of a disk by the work that it allows. The values are ordered from most to least space.
type Room uint8

// The values of Room.
const (
	// RoomForAll means that at least the headroom is free.
	RoomForAll Room = iota
	// RoomForReserved means that less than the headroom is free. Reserved groups accept commands; in other groups only
	// work that has begun is finished.
	RoomForReserved
	// RoomForVotes means that less than half of the headroom is free. No commands are accepted; votes, the first entries
	// of leaders and new voters are still written.
	RoomForVotes
)

// voteReserveDivisor determines the free space that is reserved for votes: the headroom divided by it.
const voteReserveDivisor = 2

// String returns the name of the value for log lines.
func (r Room) String() string {
	switch r {
	case RoomForAll:
		return "all"
	case RoomForReserved:
		return "reserved"
	case RoomForVotes:
		return "votes"
	}
	return "unknown"
}
