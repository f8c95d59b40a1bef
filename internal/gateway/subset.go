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

// group is the gateways that may hold requests in flight, and this one's place among them.
type group struct {
	gateways []routing.Place // by name
	rank     int
}

// gatewayGroup returns the live gateways; this one counts always.
func gatewayGroup(members *wire.MembersView, own routing.Place) group {
	gateways := []routing.Place{own}
	for _, member := range members.GetMembers() {
		gone := member.GetState() == wire.MemberState_MEMBER_STATE_GONE
		if member.GetRole() == wire.MemberRole_MEMBER_ROLE_GATEWAY && !gone && member.GetName() != own.Name {
			gateways = append(gateways, routing.Place{Name: member.GetName(), Zone: member.GetZone()})
		}
	}
	slices.SortFunc(gateways, func(one, other routing.Place) int { return cmp.Compare(one.Name, other.Name) })
	return group{gateways: gateways, rank: slices.Index(gateways, own)}
}

func (g group) equal(other group) bool {
	return g.rank == other.rank && slices.Equal(g.gateways, other.gateways)
}

// place is this gateway's own.
func (g group) place() routing.Place { return g.gateways[g.rank] }

// of returns this gateway's part of a limit that all gateways share.
func (g group) of(limit uint32, row string) int {
	return part(limit, routing.Share{Users: len(g.gateways), Rank: g.rank}, row)
}

// part is the part of a limit that falls to one of those that share it.
func part(limit uint32, share routing.Share, row string) int {
	return admission.Share(int(limit), share.Users, share.Rank, xxhash.Sum64String(row))
}

// subset keeps the assignment of a pool's back ends to the gateways while neither changes: changes of
// weights and limits are far more frequent.
type subset struct {
	settings routing.SubsetSettings
	gateways []routing.Place
	backends []routing.Place
	assigned *routing.Subsets
}

// shares returns this gateway's share of each back end, by name. Back ends that take no new work use no
// place in a subset: every gateway keeps them, for the requests that they still have.
func (s *subset) shares(own group, rows []*table.Row) map[string]routing.Share {
	var active []routing.Place
	for _, row := range rows {
		if row.State == table.Active {
			active = append(active, routing.Place{Name: row.Name, Zone: row.Zone})
		}
	}
	if s.assigned == nil || !slices.Equal(s.gateways, own.gateways) || !slices.Equal(s.backends, active) {
		s.gateways, s.backends = own.gateways, active
		s.assigned = routing.NewSubsets(own.gateways, active, s.settings)
	}
	shares := make(map[string]routing.Share, len(active))
	for index, backend := range active {
		shares[backend.Name] = s.assigned.Share(own.rank, index)
	}
	return shares
}
