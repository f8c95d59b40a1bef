package sim

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/claim"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// expireTicks is the number of ticks between the commands by which a group's leader expires claims.
const expireTicks = 60

// retention returns the retention of claims. It is short enough that claims expire within a run; callers repeat keys
// for less time than its Keys.
func retention() claim.Retention {
	return claim.Retention{Answers: 8 * time.Second, Keys: 75 * time.Second, Attempts: 30 * time.Second}
}

func (c *control) expireClaims() {
	if c.host.fleet.noExpiry {
		return
	}
	for _, g := range c.host.groups[1:] {
		if g.leadership.leading {
			command := &wire.Command{Kind: &wire.Command_ClaimExpire{ClaimExpire: retention().Command(c.host.world.unixMillis())}}
			c.host.propose(g.id, command, func(*wire.Result, uint64, error) {})
		}
	}
}
