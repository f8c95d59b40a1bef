package control

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// orphanInterval is how often the leader looks for claims of owners that are gone. It looks at once when
// a member goes; the interval is for claims that were granted late to an owner already gone.
const orphanInterval = time.Second

// orphans gives up, as of unknown outcome, the running claims of owners that are gone: members that are
// recorded as such, and earlier starts of a process that has started again. Their leases have lapsed, so
// they dispatch nothing more; what they had dispatched may have run.
type orphans struct {
	server *Server
	wake   chan struct{} // capacity 1
}

func newOrphans(server *Server) *orphans {
	return &orphans{server: server, wake: make(chan struct{}, 1)}
}

// look asks for a look soon.
func (o *orphans) look() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run looks for orphaned claims while this node leads, until ctx ends.
func (o *orphans) run(ctx context.Context) {
	ticker := time.NewTicker(orphanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-o.wake:
		}
		for group := uint32(1); o.server.leading() && int(group) <= o.server.config.LedgerGroups; group++ {
			o.sweep(ctx, group)
		}
	}
}

// sweep gives up the orphaned claims of one ledger group, which another node may lead.
func (o *orphans) sweep(ctx context.Context, group uint32) {
	owners, err := o.owners(ctx, group)
	if err != nil {
		o.server.log.WithError(err).Debugf("the claims of group %d could not be looked at", group)
		return
	}
	giveUpAll(ctx, owners, func(ctx context.Context, owner string) {
		command := &wire.Command{Kind: &wire.Command_ClaimOrphan{ClaimOrphan: &wire.ClaimOrphan{Owner: owner}}}
		if _, err := o.server.client.Execute(ctx, group, command); err != nil {
			o.server.log.WithError(err).Debugf("the claims of %s could not be given up", owner)
			return
		}
		o.server.log.Infof("gave up the running claims of %s in group %d", owner, group)
	})
}

// owners lists the owners of claims in a ledger group that are gone.
func (o *orphans) owners(ctx context.Context, group uint32) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	view, err := o.server.client.Query(ctx, group, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(view.GetStatus().GetClaimOwners(), func(owner string) bool { return !o.gone(owner) }), nil
}

// giveUpAll gives up the claims of each owner within a time of its own: one whose command fails again and again must not keep the
// claims of the others.
func giveUpAll(ctx context.Context, owners []string, giveUp func(ctx context.Context, owner string)) {
	for _, owner := range owners {
		if ctx.Err() != nil {
			return
		}
		limited, cancel := context.WithTimeout(ctx, recordTimeout)
		giveUp(limited, owner)
		cancel()
	}
}

// gone says whether an owner certainly dispatches nothing more. Owners that never were members are left
// alone: nothing is known of them.
func (o *orphans) gone(owner string) bool {
	name, text, found := strings.Cut(owner, "#")
	incarnation, err := strconv.ParseUint(text, 10, 64)
	if !found || err != nil {
		return false
	}
	member := o.server.publisher.member(name)
	replaced := member.GetIncarnation() > incarnation
	recorded := member.GetIncarnation() == incarnation && member.GetState() == wire.MemberState_MEMBER_STATE_GONE
	return (replaced || recorded) && !o.server.leases.mayHold(lease.HolderID{Name: name, Incarnation: incarnation})
}
