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

// orphanInterval is how often the leader checks for claims of owners that are gone. It also checks when a member
// becomes gone; the interval covers claims that were granted late to an owner that was already gone.
const orphanInterval = time.Second

// orphans ends the running claims of owners that are gone, with an unknown outcome. These owners are members that are
// recorded as gone and earlier starts of a process that has restarted. Their leases have lapsed, so they dispatch no
// further requests, but earlier requests may have been executed.
type orphans struct {
	server *Server
	wake   chan struct{} // capacity 1: a sweep was requested
}

func newOrphans(server *Server) *orphans {
	return &orphans{server: server, wake: make(chan struct{}, 1)}
}

// requestSweep triggers a sweep without waiting for the interval.
func (o *orphans) requestSweep() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run checks for orphaned claims until ctx ends, while this node leads the control group.
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
		for group := uint32(1); o.server.leadsControlGroup() && int(group) <= o.server.config.LedgerGroups; group++ {
			o.sweep(ctx, group)
		}
	}
}

// sweep ends the orphaned claims of one ledger group, which another node may lead.
func (o *orphans) sweep(ctx context.Context, group uint32) {
	owners, err := o.goneOwners(ctx, group)
	if err != nil {
		o.server.log.WithError(err).Debugf("failed to list the claim owners of group %d", group)
		return
	}
	orphanClaims(ctx, owners, func(ctx context.Context, owner string) {
		command := &wire.Command{Kind: &wire.Command_ClaimOrphan{ClaimOrphan: &wire.ClaimOrphan{Owner: owner}}}
		if _, err := o.server.client.Execute(ctx, group, command); err != nil {
			o.server.log.WithError(err).Debugf("failed to end the claims of %s", owner)
			return
		}
		o.server.log.Infof("ended the running claims of %s in group %d with an unknown outcome", owner, group)
	})
}

// goneOwners lists the owners of claims in a ledger group that are gone.
func (o *orphans) goneOwners(ctx context.Context, group uint32) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	view, err := o.server.client.Query(ctx, group, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(view.GetStatus().GetClaimOwners(), func(owner string) bool { return !o.isGone(owner) }), nil
}

// orphanClaims ends the claims of each owner with a separate timeout, so that one owner whose command always fails does
// not block the claims of the others.
func orphanClaims(ctx context.Context, owners []string, orphan func(ctx context.Context, owner string)) {
	for _, owner := range owners {
		if ctx.Err() != nil {
			return
		}
		limited, cancel := context.WithTimeout(ctx, recordTimeout)
		orphan(limited, owner)
		cancel()
	}
}

// isGone reports whether an owner certainly dispatches no further requests. It is false for owners that never were
// members, since nothing is known about them.
func (o *orphans) isGone(owner string) bool {
	name, text, found := strings.Cut(owner, "#")
	incarnation, err := strconv.ParseUint(text, 10, 64)
	if !found || err != nil {
		return false
	}
	member := o.server.publisher.member(name)
	replaced := member.GetIncarnation() > incarnation
	recorded := member.GetIncarnation() == incarnation && member.GetState() == wire.MemberState_MEMBER_STATE_GONE
	return (replaced || recorded) && !o.server.leases.mayHoldLease(lease.HolderID{Name: name, Incarnation: incarnation})
}
