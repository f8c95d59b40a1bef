package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// gatewaySet is the set of gateways that may have requests in flight, including this one.
type gatewaySet struct {
	members []routing.Place // sorted by name
	rank    int             // index of this gateway in members
}

// liveGateways returns the gateways that are not gone. It always includes this one.
func liveGateways(members *wire.MembersView, own routing.Place) gatewaySet {
	gateways := []routing.Place{own}
	for _, member := range members.GetMembers() {
		gone := member.GetState() == wire.MemberState_MEMBER_STATE_GONE
		if member.GetRole() == wire.MemberRole_MEMBER_ROLE_GATEWAY && !gone && member.GetName() != own.Name {
			gateways = append(gateways, routing.Place{Name: member.GetName(), Zone: member.GetZone()})
		}
	}
	slices.SortFunc(gateways, func(one, other routing.Place) int { return cmp.Compare(one.Name, other.Name) })
	return gatewaySet{members: gateways, rank: slices.Index(gateways, own)}
}

func (g gatewaySet) equal(other gatewaySet) bool {
	return g.rank == other.rank && slices.Equal(g.members, other.members)
}

// ownPlace returns the place of this gateway.
func (g gatewaySet) ownPlace() routing.Place { return g.members[g.rank] }

// shareOf returns this gateway's share of a limit that all gateways share.
func (g gatewaySet) shareOf(limit uint32, row string) int {
	return shareOfLimit(limit, routing.Share{Users: len(g.members), Rank: g.rank}, row)
}

// shareOfLimit returns one user's share of a limit.
func shareOfLimit(limit uint32, share routing.Share, row string) int {
	return admission.Share(int(limit), share.Users, share.Rank, xxhash.Sum64String(row))
}

// subset caches the assignment of a pool's back ends to gateways until either set changes. Weights and limits
// change far more often and do not affect it.
type subset struct {
	settings routing.SubsetSettings
	gateways []routing.Place
	backends []routing.Place
	assigned *routing.Subsets
}

// ownShares returns this gateway's share of each active back end by name. Back ends that take no new work have no
// place in a subset. Every gateway keeps them for the requests they still have.
func (s *subset) ownShares(gateways gatewaySet, rows []*table.Row) map[string]routing.Share {
	var active []routing.Place
	for _, row := range rows {
		if row.State == table.Active {
			active = append(active, routing.Place{Name: row.Name, Zone: row.Zone})
		}
	}
	if s.assigned == nil || !slices.Equal(s.gateways, gateways.members) || !slices.Equal(s.backends, active) {
		s.gateways, s.backends = gateways.members, active
		s.assigned = routing.NewSubsets(gateways.members, active, s.settings)
	}
	shares := make(map[string]routing.Share, len(active))
	for index, backend := range active {
		shares[backend.Name] = s.assigned.Share(gateways.rank, index)
	}
	return shares
}
