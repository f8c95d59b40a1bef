package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// targetZones are the zones of a large deployment in two regions.
var targetZones = []string{"a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3"}

const (
	targetGateways = 340
	targetBackends = 600
)

func placesIn(prefix string, count int, zones []string) []Place {
	places := make([]Place, count)
	for i := range places {
		places[i] = Place{Name: fmt.Sprintf("%s-%03d", prefix, i), Zone: zones[i%len(zones)]}
	}
	return places
}

// usersOf returns the gateways that use each back end.
func usersOf(gateways, backends []Place, subsets *Subsets) [][]int {
	users := make([][]int, len(backends))
	for b := range backends {
		for g := range gateways {
			if subsets.Share(g, b).Rank >= 0 {
				users[b] = append(users[b], g)
			}
		}
	}
	return users
}

// TestSubsetsCoverEveryBackend guards against back ends without enough gateways, gateways without enough back ends,
// and wrong shares, in random fleets.
func TestSubsetsCoverEveryBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SampledFrom([][]string{{""}, {"a-1"}, {"a-1", "a-2", "a-3"}, targetZones}).Draw(t, "zones")
		gateways := placesIn("g", rapid.IntRange(1, 60).Draw(t, "gateways"), zones)
		backends := placesIn("b", rapid.IntRange(1, 150).Draw(t, "backends"), zones[rapid.IntRange(0, len(zones)-1).Draw(t, "first zone"):])
		settings := SubsetSettings{Size: rapid.IntRange(1, 30).Draw(t, "size"), MinimumUsers: rapid.IntRange(1, 10).Draw(t, "users")}
		subsets := NewSubsets(gateways, backends, settings)
		sizes := make([]int, len(gateways))
		for b, users := range usersOf(gateways, backends, subsets) {
			if want := min(settings.MinimumUsers, len(gateways)); len(users) < want {
				t.Fatalf("back end %d has %d users, want %d at least", b, len(users), want)
			}
			for rank, g := range users {
				sizes[g]++
				if got, want := subsets.Share(g, b), (Share{Users: len(users), Rank: rank}); got != want {
					t.Fatalf("gateway %d has share %+v of back end %d, want %+v", g, got, b, want)
				}
			}
		}
		if least := min(max(settings.Size/2, 1), len(backends)); slices.Min(sizes) < least && settings.Size > 1 {
			t.Fatalf("a gateway uses %d back ends of %d, want %d at least", slices.Min(sizes), len(backends), least)
		}
		if len(backends) <= settings.Size && slices.Min(sizes) < len(backends) {
			t.Fatalf("a gateway uses less than all of a pool of %d back ends, which is within the subset size: back ends by gateway %v", len(backends), sizes)
		}
	})
}

// staticLoad returns the highest load of a back end, relative to the mean, when every gateway spreads its requests
// evenly over its subset.
func staticLoad(gateways, backends []Place, users [][]int) float64 {
	sizes := make([]int, len(gateways))
	for _, of := range users {
		for _, g := range of {
			sizes[g]++
		}
	}
	most := 0.0
	for _, of := range users {
		load := 0.0
		for _, g := range of {
			load += 1 / float64(sizes[g])
		}
		most = max(most, load)
	}
	return most * float64(len(backends)) / float64(len(gateways))
}

// rendezvousUsers is the baseline assignment: each gateway takes the back ends with the highest scores.
func rendezvousUsers(gateways, backends []Place, size int) [][]int {
	a := newAssigner(gateways, backends, size, 1)
	users := make([][]int, len(backends))
	for g := range gateways {
		ranked := slices.Clone(a.backendOrder)
		slices.SortFunc(ranked, func(one, other int) int { return cmp.Compare(a.score(g, other), a.score(g, one)) })
		for _, b := range ranked[:min(size, len(ranked))] {
			users[b] = append(users[b], g)
		}
	}
	return users
}

// TestSubsetsBalanceAtTargetSize checks the spread of gateways and load over back ends that docs/design/subsetting.md
// states.
func TestSubsetsBalanceAtTargetSize(t *testing.T) {
	gateways, backends := placesIn("g", targetGateways, targetZones), placesIn("b", targetBackends, targetZones)
	users := usersOf(gateways, backends, NewSubsets(gateways, backends, SubsetSettings{}))
	fewest, most, sizes := len(users[0]), 0, make([]int, len(gateways))
	for _, of := range users {
		fewest, most = min(fewest, len(of)), max(most, len(of))
		for _, g := range of {
			sizes[g]++
		}
	}
	load, baseline := staticLoad(gateways, backends, users), staticLoad(gateways, backends, rendezvousUsers(gateways, backends, 24))
	t.Logf("users of a back end %d to %d, static load at most %.2f of the mean; rendezvous by gateway %.2f", fewest, most, load, baseline)
	if fewest < 14 || load > 1.25 || load > baseline {
		t.Fatal("back ends are not used evenly; want at least 14 users of each, and a static load of at most 1.25 and the baseline's")
	}
	if mean := 25; slices.Max(sizes) > mean+mean/4+1 || slices.Min(sizes) < 12 {
		t.Fatalf("gateways use %d to %d back ends, want 12 to 32", slices.Min(sizes), slices.Max(sizes))
	}
}

// TestSubsetsChangeLittleAfterOneDeparture counts the pairs of a gateway and a back end that are new after one
// gateway or back end has left. Many new pairs would mean many new connections each time.
func TestSubsetsChangeLittleAfterOneDeparture(t *testing.T) {
	gateways, backends := placesIn("g", targetGateways, targetZones), placesIn("b", targetBackends, targetZones)
	before := pairsOf(gateways, backends)
	random := rand.New(rand.NewPCG(1, 2))
	most := 0
	for range 10 {
		g, b := random.IntN(len(gateways)), random.IntN(len(backends))
		for _, after := range []map[[2]string]bool{
			pairsOf(slices.Delete(slices.Clone(gateways), g, g+1), backends),
			pairsOf(gateways, slices.Delete(slices.Clone(backends), b, b+1)),
		} {
			newPositions := 0
			for pair := range after {
				if !before[pair] {
					newPositions++
				}
			}
			most = max(most, newPositions)
		}
	}
	t.Logf("at most %d of %d pairs are new after one gateway or back end left", most, len(before))
	if most > len(before)/20 {
		t.Fatal("one departure adds more than a twentieth of all pairs")
	}
}

func pairsOf(gateways, backends []Place) map[[2]string]bool {
	pairs := map[[2]string]bool{}
	for b, users := range usersOf(gateways, backends, NewSubsets(gateways, backends, SubsetSettings{})) {
		for _, g := range users {
			pairs[[2]string{gateways[g].Name, backends[b].Name}] = true
		}
	}
	return pairs
}

// TestSubsetsPreferOwnZoneAndIncludeOthers checks that most pairs are within a zone, and that no gateway depends on
// its zone alone.
func TestSubsetsPreferOwnZoneAndIncludeOthers(t *testing.T) {
	gateways, backends := placesIn("g", targetGateways, targetZones), placesIn("b", targetBackends, targetZones)
	var pairs [distanceCount]int
	outside := make([]int, len(gateways))
	for b, users := range usersOf(gateways, backends, NewSubsets(gateways, backends, SubsetSettings{})) {
		for _, g := range users {
			distance := DistanceBetween(gateways[g].Zone, backends[b].Zone)
			pairs[distance]++
			if distance != SameZone {
				outside[g]++
			}
		}
	}
	t.Logf("pairs in the zone, in the region, across regions: %v", pairs)
	if pairs[SameZone] < pairs[SameRegion] || pairs[SameRegion] < pairs[OtherRegion] || slices.Min(outside) == 0 {
		t.Fatalf("pairs by distance %v, fewest back ends outside a gateway's zone %d; want no more pairs at a farther distance than at a nearer one, and at least 1 outside", pairs, slices.Min(outside))
	}
}

// reservePool returns a pool with two replicas in the subset and two in reserve, with a capacity of one request each.
func reservePool() *Pool {
	pool := NewPool(Settings{})
	pool.SetReplicas([]ReplicaConfig{{Name: "own-1", Weight: 100, MaxInFlight: 1}, {Name: "own-2", Weight: 100, MaxInFlight: 1},
		{Name: "other-1", Weight: 100, MaxInFlight: 1, Reserve: true}, {Name: "other-2", Weight: 100, MaxInFlight: 1, Reserve: true}})
	return pool
}

// TestReserveIsUsedOnlyWhenSubsetIsUnavailable guards against requests that leave the subset while its replicas are
// only busy, and against a pool that serves nothing although the reserve is alive.
func TestReserveIsUsedOnlyWhenSubsetIsUnavailable(t *testing.T) {
	for name, policy := range policies() {
		pool, random, request := reservePool(), rand.NewPCG(1, 2), &Request{Work: 1, Urgent: true}
		for range 2 {
			i := policy.Choose(pool, request, 0, random)
			if i == None || pool.IsReserve(i) {
				t.Fatalf("%s: chose %d while the subset has free capacity, want a replica of the subset", name, i)
			}
			pool.Sent(i, request, 0)
		}
		if i := policy.Choose(pool, request, 0, random); i != None {
			t.Errorf("%s: chose %s while the subset is only busy, want none", name, pool.Name(i))
		}
		pool.SetLeaving("own-1", SourceLoadReport, true)
		for range missedReportLimit {
			pool.RecordMissedPoll("own-2")
		}
		if i := policy.Choose(pool, request, 0, random); i == None || !pool.IsReserve(i) {
			t.Errorf("%s: chose %d while the subset is unavailable and the reserve is alive, want a replica of the reserve", name, i)
		}
	}
}

func BenchmarkSubsets(b *testing.B) {
	gateways, backends := placesIn("g", targetGateways, targetZones), placesIn("b", targetBackends, targetZones)
	b.ReportAllocs()
	for b.Loop() {
		NewSubsets(gateways, backends, SubsetSettings{})
	}
}
