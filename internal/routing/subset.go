package routing

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Place is a gateway or a back end and its location.
type Place struct {
	Name string
	Zone string // empty: unknown, treated as near to every zone
}

// DistanceBetween returns the distance between two zones. Zones whose names share the text before their last dash are
// in one region. An empty zone counts as the same zone as any other.
func DistanceBetween(zone, other string) Distance {
	switch {
	case zone == other || zone == "" || other == "":
		return SameZone
	case regionOf(zone) == regionOf(other):
		return SameRegion
	}
	return OtherRegion
}

// regionOf returns the part of a zone's name before its last dash, or "" if it contains no dash.
func regionOf(zone string) string {
	for at := len(zone) - 1; at >= 0; at-- {
		if zone[at] == '-' {
			return zone[:at]
		}
	}
	return ""
}

// SubsetSettings set how many back ends of a pool each gateway uses.
type SubsetSettings struct {
	// Size is the approximate number of back ends that a gateway uses. Every gateway uses all back ends of a pool
	// that has no more than Size. Default 24.
	Size int
	// MinimumUsers is the least number of gateways that use each back end, or all gateways if there are fewer. With
	// few gateways, each therefore uses more than Size back ends. Default 8.
	MinimumUsers int
}

// WithDefaults returns the settings with the defaults in place of fields that are 0 or less.
func (s SubsetSettings) WithDefaults() SubsetSettings {
	if s.Size <= 0 {
		s.Size = 24
	}
	if s.MinimumUsers <= 0 {
		s.MinimumUsers = 8
	}
	return s
}

// Composition of a subset, in eighths: of eight back ends that a gateway uses, about four are in its zone and three
// elsewhere in its region, so that one is left when the region is lost.
const (
	sameZoneParts   = 4
	sameRegionParts = 3
	totalParts      = 8
	// overloadParts bounds how many more back ends than the mean one gateway uses, in eighths of the mean.
	overloadParts = 2
)

// Subsets is the assignment of the back ends of one pool to gateways. It depends only on the two lists, so that
// gateways that know the same lists compute the same assignment without communication.
type Subsets struct {
	users [][]int // gateways that use each back end, ascending; nil when all gateways use all back ends
	count int     // number of gateways
}

// Share describes a gateway's part in the use of a back end.
type Share struct {
	Users int // number of gateways that use the back end
	Rank  int // position of this gateway among them, from 0; -1 if it does not use the back end
}

// NewSubsets assigns the back ends of a pool to the gateways. Both lists must be free of duplicates and in the same
// order at every caller, with at most 65,536 gateways.
//
// Each back end selects its users by rendezvous hashing: most of them in its zone, some in its region, some anywhere.
// A gateway that has enough back ends is skipped while others have fewer. Adding or removing a gateway or a back end
// therefore changes few other assignments.
func NewSubsets(gateways, backends []Place, settings SubsetSettings) *Subsets {
	settings = settings.WithDefaults()
	s := &Subsets{count: len(gateways)}
	usersPerBackend := max(ceilDivide(settings.Size*len(gateways), max(len(backends), 1)), settings.MinimumUsers)
	if len(backends) <= settings.Size || usersPerBackend >= len(gateways) {
		return s
	}
	s.users = make([][]int, len(backends))
	a := newAssigner(gateways, backends, settings.Size, usersPerBackend)
	for _, backend := range a.backendOrder {
		s.users[backend] = a.chooseUsers(backend)
	}
	a.fillToMinimum(s.users)
	return s
}

func ceilDivide(value, by int) int { return (value + by - 1) / by }

// Share returns a gateway's part in the use of a back end. Both are given by their positions in the lists.
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

// assigner is the state of one run of NewSubsets.
type assigner struct {
	gateways, backends       []Place
	gatewayHash, backendHash []uint64
	gatewayZone, backendZone []int // positions in zones
	zones                    []zoneCounts
	distance                 [][]Distance // between two zones, by their positions in zones
	backendOrder             []int        // back ends sorted by hash, the order in which they choose users
	size, usersPerBackend    int
	minBackends              int      // least number of back ends per gateway, if there are as many
	maxBackends              int      // number of back ends from which on a gateway is skipped
	backendCounts            []int    // number of back ends assigned, by gateway
	rankedGateways           []uint64 // gateways sorted by score for one back end, best last; see rankGateways
	isChosen                 []bool   // by gateway, whether the current back end has chosen it
}

// zoneCounts holds the numbers of gateways and back ends in one zone and in all zones of its region.
type zoneCounts struct {
	name                           string
	gateways, backends             int
	regionGateways, regionBackends int
}

func newAssigner(gateways, backends []Place, size, usersPerBackend int) *assigner {
	mean := ceilDivide(usersPerBackend*len(backends), len(gateways))
	a := &assigner{gateways: gateways, backends: backends, gatewayHash: hashNames(gateways), backendHash: hashNames(backends),
		size: size, usersPerBackend: usersPerBackend, minBackends: min(size/2, len(backends)), maxBackends: mean + ceilDivide(mean*overloadParts, totalParts),
		backendCounts: make([]int, len(gateways)), rankedGateways: make([]uint64, len(gateways)), isChosen: make([]bool, len(gateways))}
	a.countZones()
	for index := range backends {
		a.backendOrder = append(a.backendOrder, index)
	}
	slices.SortFunc(a.backendOrder, func(one, other int) int { return cmp.Compare(a.backendHash[one], a.backendHash[other]) })
	return a
}

func hashNames(places []Place) []uint64 {
	all := make([]uint64, len(places))
	for index, place := range places {
		all[index] = xxhash.Sum64String(place.Name)
	}
	return all
}

// countZones numbers the zones, counts their gateways and back ends, and computes the distances between them.
func (a *assigner) countZones() {
	number := map[string]int{}
	positions := func(places []Place) []int {
		all := make([]int, len(places))
		for index, place := range places {
			position, known := number[place.Zone]
			if !known {
				position = len(a.zones)
				number[place.Zone] = position
				a.zones = append(a.zones, zoneCounts{name: place.Zone})
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

// score returns the rendezvous hash of a gateway and a back end.
func (a *assigner) score(gateway, backend int) uint64 {
	mixed := a.gatewayHash[gateway] ^ bits.RotateLeft64(a.backendHash[backend], 32)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// gatewayBits is the number of low bits of an entry of rankedGateways that hold the gateway's position. The others
// hold its score.
const gatewayBits = 16

// rankGateways sorts the gateways by their score for a back end.
func (a *assigner) rankGateways(backend int) {
	for gateway := range a.gateways {
		a.rankedGateways[gateway] = a.score(gateway, backend)>>gatewayBits<<gatewayBits | uint64(gateway)
	}
	slices.Sort(a.rankedGateways)
	clear(a.isChosen)
}

// chooseUsers returns the gateways that use a back end, ascending.
func (a *assigner) chooseUsers(backend int) []int {
	a.rankGateways(backend)
	own := a.zones[a.backendZone[backend]]
	inZone := ceilDivide(a.size*sameZoneParts*own.gateways, totalParts*own.backends)
	inRegion := ceilDivide(a.size*sameRegionParts*own.regionGateways, totalParts*own.regionBackends)
	chosen := make([]int, 0, a.usersPerBackend)
	chosen = a.addUsers(chosen, backend, SameZone, min(inZone, a.usersPerBackend), a.maxBackends)
	chosen = a.addUsers(chosen, backend, SameRegion, min(len(chosen)+inRegion, a.usersPerBackend), a.maxBackends)
	chosen = a.addUsers(chosen, backend, OtherRegion, a.usersPerBackend, a.maxBackends)
	chosen = a.addUsers(chosen, backend, OtherRegion, a.usersPerBackend, len(a.backends))
	slices.Sort(chosen)
	return chosen
}

// addUsers appends the gateways with the highest scores that are no farther than distance and use fewer than
// maxBackends back ends, until chosen has count entries.
func (a *assigner) addUsers(chosen []int, backend int, distance Distance, count, maxBackends int) []int {
	near := a.distance[a.backendZone[backend]]
	for index := len(a.rankedGateways) - 1; index >= 0 && len(chosen) < count; index-- {
		gateway := int(a.rankedGateways[index] & (1<<gatewayBits - 1))
		if a.isChosen[gateway] || near[a.gatewayZone[gateway]] > distance || a.backendCounts[gateway] >= maxBackends {
			continue
		}
		a.isChosen[gateway] = true
		a.backendCounts[gateway]++
		chosen = append(chosen, gateway)
	}
	return chosen
}

// fillToMinimum assigns further back ends to gateways that have fewer than minBackends, the nearest first and within
// a distance those with the highest score.
func (a *assigner) fillToMinimum(users [][]int) {
	for gateway := range a.gateways {
		if a.backendCounts[gateway] >= a.minBackends {
			continue
		}
		for _, backend := range a.rankBackends(gateway) {
			at, used := slices.BinarySearch(users[backend], gateway)
			if used {
				continue
			}
			users[backend] = slices.Insert(users[backend], at, gateway)
			if a.backendCounts[gateway]++; a.backendCounts[gateway] >= a.minBackends {
				break
			}
		}
	}
}

// rankBackends returns all back ends in a gateway's order of preference.
func (a *assigner) rankBackends(gateway int) []int {
	ranked := slices.Clone(a.backendOrder)
	near := a.distance[a.gatewayZone[gateway]]
	slices.SortFunc(ranked, func(one, other int) int {
		return cmp.Or(cmp.Compare(near[a.backendZone[one]], near[a.backendZone[other]]),
			cmp.Compare(a.score(gateway, other), a.score(gateway, one)))
	})
	return ranked
}
