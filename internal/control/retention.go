package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// retentionInterval is the maximum interval at which claims are expired. retentionsPerAnswer shortens it to a
	// fraction of the retention of answers, so that short retentions are not exceeded by much.
	retentionInterval   = 2 * time.Second
	retentionsPerAnswer = 8
)

// retention expires claims in the ledger groups that this node leads. It stops for a group without new claims once the
// group's last answers have expired, so that the log of an idle group does not grow.
type retention struct {
	server    *Server
	lastClaim []atomic.Int64 // time of the last applied claim command, by group; 0 if none
}

func newRetention(server *Server) *retention {
	return &retention{server: server, lastClaim: make([]atomic.Int64, server.config.LedgerGroups+1)}
}

// applied records an applied command of a group.
func (r *retention) applied(group uint32, command *wire.Command) {
	if command.GetClaimBegin() != nil || command.GetClaimFinish() != nil {
		r.lastClaim[group].Store(int64(r.server.config.Clock()))
	}
}

// run expires claims at regular intervals until ctx ends.
func (r *retention) run(ctx context.Context) {
	interval := max(min(retentionInterval, r.server.config.Retention.Answers/retentionsPerAnswer), time.Millisecond)
	pause.Every(ctx, interval, func(ctx context.Context) {
		for group := uint32(1); int(group) <= r.server.config.LedgerGroups; group++ {
			if r.mayHaveExpiring(group, 2*interval) && r.server.states[group].leader().Leading {
				r.expire(ctx, group)
			}
		}
	})
}

// mayHaveExpiring reports whether a group may have claims to expire. The answer of the last claim is dropped after the
// retention of answers, and at most margin later.
func (r *retention) mayHaveExpiring(group uint32, margin time.Duration) bool {
	last := r.lastClaim[group].Load()
	return last != 0 && r.server.config.Clock()-time.Duration(last) <= r.server.config.Retention.Answers+margin
}

func (r *retention) expire(ctx context.Context, group uint32) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	expire := r.server.config.Retention.Command(time.Now().UnixMilli())
	command := &wire.Command{Kind: &wire.Command_ClaimExpire{ClaimExpire: expire}}
	if _, _, err := r.server.replicas.Propose(ctx, group, command); err != nil {
		r.server.log.WithError(err).Debugf("failed to expire the claims of group %d", group)
	}
}
