package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// retentionInterval is how often claims are expired at most; retentionsPerAnswer keeps short retentions
	// from being missed by much.
	retentionInterval   = 2 * time.Second
	retentionsPerAnswer = 8
)

// retention advances the retention of claims in the ledger groups that this node leads. A group to which no
// claims come is left alone once its last answers have expired: its log does not grow while it is idle.
type retention struct {
	server    *Server
	lastClaim []atomic.Int64 // clock of the last claim command applied, by group; 0 for none
}

func newRetention(server *Server) *retention {
	return &retention{server: server, lastClaim: make([]atomic.Int64, server.config.LedgerGroups+1)}
}

// applied notes a command of a group.
func (r *retention) applied(group uint32, command *wire.Command) {
	if command.GetClaimBegin() != nil || command.GetClaimFinish() != nil {
		r.lastClaim[group].Store(int64(r.server.config.Clock()))
	}
}

// run expires claims until ctx ends.
func (r *retention) run(ctx context.Context) {
	interval := max(min(retentionInterval, r.server.config.Retention.Answers/retentionsPerAnswer), time.Millisecond)
	pause.Every(ctx, interval, func(ctx context.Context) {
		for group := uint32(1); int(group) <= r.server.config.LedgerGroups; group++ {
			if r.due(group, 2*interval) && r.server.states[group].leader().Leading {
				r.expire(ctx, group)
			}
		}
	})
}

// due tells whether a group may have claims to expire: those of the last command have their answers dropped
// after the retention of answers, at the latest a margin later.
func (r *retention) due(group uint32, margin time.Duration) bool {
	last := r.lastClaim[group].Load()
	return last != 0 && r.server.config.Clock()-time.Duration(last) <= r.server.config.Retention.Answers+margin
}

func (r *retention) expire(ctx context.Context, group uint32) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	expire := r.server.config.Retention.Command(time.Now().UnixMilli())
	command := &wire.Command{Kind: &wire.Command_ClaimExpire{ClaimExpire: expire}}
	if _, _, err := r.server.replicas.Propose(ctx, group, command); err != nil {
		r.server.log.WithError(err).Debugf("the claims of group %d were not expired", group)
	}
}
