package controlclient

import (
	"math"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// startSpread is the range above an earlier start's number from which the next one is drawn, so that two processes of one name that are
// renumbered at the same time do not get the same.
const startSpread = 1 << 20

// after returns the member with the number of a start that is later than another one; false where its own is, or none is above.
func after(member *wire.Member, held uint64) (renumbered *wire.Member, later bool) {
	if held < member.GetIncarnation() || held > math.MaxUint64-startSpread {
		return member, false
	}
	renumbered = proto.CloneOf(member)
	renumbered.Incarnation = held + 1 + rand.Uint64N(startSpread)
	return renumbered, true
}

// noteRenumbered logs that this start takes another number.
func (c *Client) noteRenumbered(before, now *wire.Member) {
	logging.Emit(c.config.Log, &events.StartRenumbered{Member: wire.OwnerName(now), Before: wire.OwnerName(before)})
}
