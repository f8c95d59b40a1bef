package routing

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Place names a gateway or a back end and says where it stands.
type Place struct {
	Name string
	Zone string // empty is unknown: near to everything
}

// DistanceBetween tells how far two zones are from each other. Zones that share the text before their last
// dash share a region; an empty zone is near to every other.
func DistanceBetween(zone, other string) Distance {
	switch {
	case zone == other || zone == "" || other == "":
		return SameZone
	case region(zone) == region(other):
		return SameRegion
	}
	return OtherRegion
}

// region is the text of a zone's name before its last dash; empty without one.
func region(zone string) string {
	for at := len(zone) - 1; at >= 0; at-- {
		if zone[at] == '-' {
			return zone[:at]
		}
	}
	return ""
}

// SubsetSettings say how many back ends of a pool a gateway uses.
type SubsetSettings struct {
	// Size is the number of back ends that a gateway uses, about. A pool of no more is used whole by every
	// gateway. Default 24.
	Size int
	// MinimumUsers is the least number of gateways that use each back end, as far as there are as many:
	// where gateways are few they use more back ends than Size. Default 8.
	MinimumUsers int
}

// WithDefaults fills unset fields.
func (s SubsetSettings) WithDefaults() SubsetSettings {
	if s.Size <= 0 {
		s.Size = 24
	}
	if s.MinimumUsers <= 0 {
		s.MinimumUsers = 8
	}
	return s
}

// Parts of a subset: of eight back ends that a gateway uses about four are in its zone and three elsewhere
// in its region, so that one is left when the region is lost.
const (
	zoneParts   = 4
	regionParts = 3
	wholeParts  = 8
	// slackParts bounds how many more back ends than the mean one gateway uses, in eighths of the mean.
	slackParts = 2
)

// Subsets is which gateways use which back ends of one pool. It is a function of the two lists alone, so
// that gateways that know the same lists agree on it without a word between them.
type Subsets struct {
	users [][]int // by back end: the gateways that use it, rising; nil when all gateways use all back ends
	count int     // of gateways
}

// Share is one gateway's place among the users of a back end.
type Share struct {
	Users int // gateways that use the back end
	Rank  int // of this one among them, from 0; -1 when it does not use it
}

// NewSubsets assigns the back ends of a pool to the gateways. Both lists must be free of doubles and have
// the same order at every caller; at most 65,536 gateways. Each back end chooses its users by rendezvous hashing: most of them in
// its zone, some in its region, some anywhere; a gateway that has enough is passed over while others have
// less. A gateway or a back end that comes or goes therefore moves little else.
func NewSubsets(gateways, backends []Place, settings SubsetSettings) *Subsets {
	settings = settings.WithDefaults()
	s := &Subsets{count: len(gateways)}
	users := max(ceilDivide(settings.Size*len(gateways), max(len(backends), 1)), settings.MinimumUsers)
	if len(backends) <= settings.Size || users >= len(gateways) {
		return s
	}
	s.users = make([][]int, len(backends))
	a := newAssigner(gateways, backends, settings.Size, users)
	for _, backend := range a.order {
		s.users[backend] = a.choose(backend)
	}
	a.topUp(s.users)
	return s
}

func ceilDivide(value, by int) int { return (value + by - 1) / by }

// Share returns a gateway's place among the users of a back end, both by their position in the lists.
func (s *Subsets) Share(gateway, backend int) Share {
	if s.users == nil {
		return Share{Users: s.count, Rank: gateway}
	}
	rank, used := slices.BinarySearch(s.users[backend], gateway)
	if !used {
		rank = -1
	}
	return Share{Users: len(s.users[backend]), Rank: rank}
}

// assigner is one assignment under way.
type assigner struct {
	gateways, backends       []Place
	gatewayHash, backendHash []uint64
	gatewayZone, backendZone []int // positions in zones
	zones                    []zone
	distance                 [][]Distance // by two positions in zones
	order                    []int        // back ends by hash: the order of their choice
	size, perBackend         int
	least                    int      // back ends that a gateway uses at least, if there are as many
	most                     int      // back ends from which a gateway is passed over
	used                     []int    // back ends by gateway
	ranked                   []uint64 // gateways of one choice, best last; see rank
	taken                    []bool   // by gateway, in one choice
}

// zone counts what stands in one zone, and in all zones of its region.
type zone struct {
	name                           string
	gateways, backends             int
	regionGateways, regionBackends int
}

func newAssigner(gateways, backends []Place, size, users int) *assigner {
	mean := ceilDivide(users*len(backends), len(gateways))
	a := &assigner{gateways: gateways, backends: backends, gatewayHash: hashes(gateways), backendHash: hashes(backends),
		size: size, perBackend: users, least: min(size/2, len(backends)), most: mean + ceilDivide(mean*slackParts, wholeParts),
		used: make([]int, len(gateways)), ranked: make([]uint64, len(gateways)), taken: make([]bool, len(gateways))}
	a.countZones()
	for index := range backends {
		a.order = append(a.order, index)
	}
	slices.SortFunc(a.order, func(one, other int) int { return cmp.Compare(a.backendHash[one], a.backendHash[other]) })
	return a
}

func hashes(places []Place) []uint64 {
	all := make([]uint64, len(places))
	for index, place := range places {
		all[index] = xxhash.Sum64String(place.Name)
	}
	return all
}

// countZones numbers the zones and fills in what is known of them.
func (a *assigner) countZones() {
	number := map[string]int{}
	positions := func(places []Place) []int {
		all := make([]int, len(places))
		for index, place := range places {
			position, known := number[place.Zone]
			if !known {
				position = len(a.zones)
				number[place.Zone] = position
				a.zones = append(a.zones, zone{name: place.Zone})
			}
			all[index] = position
		}
		return all
	}
	a.gatewayZone, a.backendZone = positions(a.gateways), positions(a.backends)
	for _, position := range a.gatewayZone {
		a.zones[position].gateways++
	}
	for _, position := range a.backendZone {
		a.zones[position].backends++
	}
	for i := range a.zones {
		distances := make([]Distance, len(a.zones))
		for j, other := range a.zones {
			distances[j] = DistanceBetween(a.zones[i].name, other.name)
			if distances[j] != OtherRegion {
				a.zones[i].regionGateways += other.gateways
				a.zones[i].regionBackends += other.backends
			}
		}
		a.distance = append(a.distance, distances)
	}
}

// score is the rendezvous hash of a pair.
func (a *assigner) score(gateway, backend int) uint64 {
	mixed := a.gatewayHash[gateway] ^ bits.RotateLeft64(a.backendHash[backend], 32)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// gatewayBits hold a gateway's position beside its score.
const gatewayBits = 16

// rank sorts the gateways by their score for a back end.
func (a *assigner) rank(backend int) {
	for gateway := range a.gateways {
		a.ranked[gateway] = a.score(gateway, backend)>>gatewayBits<<gatewayBits | uint64(gateway)
	}
	slices.Sort(a.ranked)
	clear(a.taken)
}

// choose returns a back end's users, rising.
func (a *assigner) choose(backend int) []int {
	a.rank(backend)
	own := a.zones[a.backendZone[backend]]
	inZone := ceilDivide(a.size*zoneParts*own.gateways, wholeParts*own.backends)
	inRegion := ceilDivide(a.size*regionParts*own.regionGateways, wholeParts*own.regionBackends)
	chosen := make([]int, 0, a.perBackend)
	chosen = a.take(chosen, backend, SameZone, min(inZone, a.perBackend), a.most)
	chosen = a.take(chosen, backend, SameRegion, min(len(chosen)+inRegion, a.perBackend), a.most)
	chosen = a.take(chosen, backend, OtherRegion, a.perBackend, a.most)
	chosen = a.take(chosen, backend, OtherRegion, a.perBackend, len(a.backends))
	slices.Sort(chosen)
	return chosen
}

// take adds the best gateways that are no farther than a distance and use fewer back ends than most, until
// count are chosen.
func (a *assigner) take(chosen []int, backend int, distance Distance, count, most int) []int {
	near := a.distance[a.backendZone[backend]]
	for index := len(a.ranked) - 1; index >= 0 && len(chosen) < count; index-- {
		gateway := int(a.ranked[index] & (1<<gatewayBits - 1))
		if a.taken[gateway] || near[a.gatewayZone[gateway]] > distance || a.used[gateway] >= most {
			continue
		}
		a.taken[gateway] = true
		a.used[gateway]++
		chosen = append(chosen, gateway)
	}
	return chosen
}

// topUp gives a gateway that few back ends chose the ones that it scores highest, the nearest first.
func (a *assigner) topUp(users [][]int) {
	for gateway := range a.gateways {
		if a.used[gateway] >= a.least {
			continue
		}
		for _, backend := range a.preferred(gateway) {
			at, used := slices.BinarySearch(users[backend], gateway)
			if used {
				continue
			}
			users[backend] = slices.Insert(users[backend], at, gateway)
			if a.used[gateway]++; a.used[gateway] >= a.least {
				break
			}
		}
	}
}

// preferred returns all back ends in a gateway's order of preference.
func (a *assigner) preferred(gateway int) []int {
	ranked := slices.Clone(a.order)
	near := a.distance[a.gatewayZone[gateway]]
	slices.SortFunc(ranked, func(one, other int) int {
		return cmp.Or(cmp.Compare(near[a.backendZone[one]], near[a.backendZone[other]]),
			cmp.Compare(a.score(gateway, other), a.score(gateway, one)))
	})
	return ranked
}
