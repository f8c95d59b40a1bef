package controlclient

import (
	"math"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// incarnationSpread is the size of the range above the held incarnation from which a new one is drawn at random, so
// that two processes of the same name that take a new one at the same time do not get the same.
const incarnationSpread = 1 << 20

// withIncarnationAfter returns a copy of member with an incarnation above held. It returns member itself and false if
// its incarnation is higher already, or if held leaves no free number above it.
func withIncarnationAfter(member *wire.Member, held uint64) (renumbered *wire.Member, later bool) {
	if held < member.GetIncarnation() || held > math.MaxUint64-incarnationSpread {
		return member, false
	}
	renumbered = proto.CloneOf(member)
	renumbered.Incarnation = held + 1 + rand.Uint64N(incarnationSpread)
	return renumbered, true
}

// logRenumbered logs that this process has taken another incarnation.
func (c *Client) logRenumbered(before, now *wire.Member) {
	logging.Emit(c.config.Log, &events.StartRenumbered{Member: wire.OwnerName(now), Before: wire.OwnerName(before)})
}
