package wire

import "strconv"

// OwnerName names one start of a process as the owner of claims and the holder of a lease: a restarted
// process is another owner.
func OwnerName(member *Member) string {
	return member.GetName() + "#" + strconv.FormatUint(member.GetIncarnation(), 10)
}
