package share

import (
	"math"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
)

// division is the division of one resource between its holders.
type division struct {
	kind    kind
	limit   int64
	holders []holderState
	indexes map[lease.HolderID]int // index in holders
}

// holderState is one holder's demand and the amounts that it may be using.
type holderState struct {
	holder    lease.HolderID
	demand    Demand
	leaseEnds time.Duration // end of the lease in which the demand was reported
	// answers holds the answers that may be in force, oldest first: the one that the holder has applied and those that
	// it has not confirmed.
	answers []answer
}

// answer is a share that was sent to a holder, without lent amounts.
type answer struct {
	number   uint64
	entitled int64
}

// maxUnconfirmedAnswers bounds the answers that are tracked separately for a holder. Two are usual: the applied one
// and the one in transit.
const maxUnconfirmedAnswers = 4

func newDivision(kind kind) *division {
	return &division{kind: kind, indexes: map[lease.HolderID]int{}}
}

// renew records a holder's demand and returns its share. settling is set while leases of earlier leaders may be in
// force.
func (d *division) renew(now time.Duration, settling bool, renewal *Renewal, demand Demand) uint32 {
	d.prune(now)
	index, known := d.indexes[renewal.Holder]
	if !known {
		index = len(d.holders)
		d.holders = append(d.holders, holderState{holder: renewal.Holder})
		d.indexes[renewal.Holder] = index
	}
	own := &d.holders[index]
	own.demand, own.leaseEnds = demand, max(own.leaseEnds, renewal.LeaseEnds)
	own.confirm(renewal.AppliedAnswer)
	totalDemand := d.totalDemand()
	if d.kind.reportsLowest {
		return d.lowestReported()
	}
	var entitled int64
	if settling {
		entitled = d.settlingShare(demand)
	} else {
		entitled = max(min(d.targetShare(demand.total(), totalDemand), d.limit-d.inForceOfOthers(index)), 0)
	}
	if !own.recordAnswer(renewal.Number, entitled) {
		return clampToUint32(d.kind.minimum)
	}
	switch lending := totalDemand <= d.limit*maxLendingDemand; {
	case !lending:
		return clampToUint32(max(entitled, d.kind.minimum))
	case settling:
		return clampToUint32(max(entitled, d.kind.lent)) // the amount in use may include lent amounts already
	}
	return clampToUint32(entitled + d.kind.lent)
}

// lowestReported returns the lowest limit of the holders that report one and of limitFromCrashes, or 0 if there is
// none.
func (d *division) lowestReported() (lowest uint32) {
	for i := range d.holders {
		if told := d.holders[i].demand.InUse; told > 0 && (lowest == 0 || told < lowest) {
			lowest = told
		}
	}
	if together := d.limitFromCrashes(); together > 0 && (lowest == 0 || together < lowest) {
		return together
	}
	return lowest
}

// limitFromCrashes returns the limit that follows from crashes at which several holders had one body each at the
// replica, or 0 if there is none. Each of these holders alone only knows of its own body as the cause.
func (d *division) limitFromCrashes() (limit uint32) {
	var holders, sum int64
	for i := range d.holders {
		if waiting := int64(d.holders[i].demand.Waiting); waiting > 1 {
			holders++
			sum += waiting - 1
		}
	}
	if holders < 2 || sum <= SafeBytes/BytesUnit {
		return 0
	}
	return clampToUint32(sum / 2)
}

// maxLendingDemand is the total demand, as a multiple of the limit, up to which amounts are lent. One waiting request
// behind each running one keeps the back ends busy while shares lag behind. More would only wait longer at the back
// ends, where requests are not scheduled by caller.
const maxLendingDemand = 2

// settlingShare returns the share of a holder while leases of earlier leaders may be in force: the amount that it has
// in use, scaled down if all holders together have more than the limit in use.
func (d *division) settlingShare(demand Demand) int64 {
	var inUse int64
	for i := range d.holders {
		inUse += int64(d.holders[i].demand.InUse)
	}
	if inUse <= d.limit {
		return int64(demand.InUse)
	}
	return int64(demand.InUse) * d.limit / inUse
}

// totalDemand returns the sum of the demands of all holders.
func (d *division) totalDemand() int64 {
	var sum int64
	for i := range d.holders {
		sum += d.holders[i].demand.total()
	}
	return sum
}

// spareDivisor is the divisor of the spare amount that gives the part granted in advance. The rest stays with the
// leader, so that a burst at one holder gets a larger share with its first renewal and need not wait for others to
// give back theirs.
const spareDivisor = 2

// targetShare returns the share that a holder with a given demand should have: all of its demand and a part of what is
// spare, or its max-min fair share if the total demand exceeds the limit.
func (d *division) targetShare(want, totalDemand int64) int64 {
	if totalDemand <= d.limit {
		return want + (d.limit-totalDemand)/spareDivisor/int64(len(d.holders))
	}
	level, rest := d.maxMinShare()
	if want > level && rest > 0 {
		level++ // the first holders that renew get one unit each of the remainder
	}
	return min(want, level)
}

// maxMinShare returns the largest share per holder with which all holders together stay within the limit, and the
// remainder that is left then.
func (d *division) maxMinShare() (level, rest int64) {
	low, high := int64(0), d.limit
	for low < high {
		middle := (low + high + 1) / 2
		if d.sumCapped(middle) <= d.limit {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low, d.limit - d.sumCapped(low)
}

// sumCapped returns the sum of all demands, each of them limited to level.
func (d *division) sumCapped(level int64) int64 {
	var sum int64
	for i := range d.holders {
		sum += min(d.holders[i].demand.total(), level)
	}
	return sum
}

// inForceOfOthers returns the sum of what all holders except one may be using.
func (d *division) inForceOfOthers(index int) int64 {
	var sum int64
	for i := range d.holders {
		if i != index {
			sum += d.holders[i].inForce(d.kind)
		}
	}
	return sum
}

// prune removes the holders whose lease has ended.
func (d *division) prune(now time.Duration) {
	for i := len(d.holders) - 1; i >= 0; i-- {
		if now >= d.holders[i].leaseEnds {
			d.remove(i)
		}
	}
}

func (d *division) release(holder lease.HolderID) {
	if index, known := d.indexes[holder]; known {
		d.remove(index)
	}
}

// remove removes the holder at an index and moves the last one there.
func (d *division) remove(index int) {
	last := len(d.holders) - 1
	delete(d.indexes, d.holders[index].holder)
	if index != last {
		d.holders[index] = d.holders[last]
		d.indexes[d.holders[index].holder] = index
	}
	d.holders[last] = holderState{}
	d.holders = d.holders[:last]
}

func (d *division) usage(now time.Duration, resource string) Usage {
	usage := Usage{Resource: resource, Limit: clampToUint32(d.limit)}
	var entitled, inUse, waiting int64
	for i := range d.holders {
		if now >= d.holders[i].leaseEnds {
			continue
		}
		usage.Holders++
		entitled += d.holders[i].inForce(d.kind)
		inUse += int64(d.holders[i].demand.InUse)
		waiting += int64(d.holders[i].demand.Waiting)
	}
	usage.Entitled, usage.InUse, usage.Waiting = clampToUint32(entitled), clampToUint32(inUse), clampToUint32(waiting)
	return usage
}

// confirm drops the answers before the one that the holder has applied.
func (c *holderState) confirm(acted uint64) {
	for len(c.answers) > 1 && c.answers[1].number <= acted {
		c.answers = c.answers[1:]
	}
}

// recordAnswer records an answer. It returns false if a later answer was given already, on a newer stream of the
// holder, because the holder no longer reads this one. Above maxUnconfirmedAnswers it merges the two oldest answers
// into one with the larger share.
func (c *holderState) recordAnswer(number uint64, entitled int64) bool {
	if last := len(c.answers) - 1; last >= 0 && number <= c.answers[last].number {
		return false
	}
	c.answers = append(c.answers, answer{number: number, entitled: entitled})
	if len(c.answers) > maxUnconfirmedAnswers {
		c.answers[1].entitled = max(c.answers[0].entitled, c.answers[1].entitled)
		c.answers = append([]answer(nil), c.answers[1:]...)
	}
	return true
}

// inForce returns the most that the holder may be using. Work in progress continues when a share falls, so for
// resources with staysInUse the amount in use counts as well.
func (c *holderState) inForce(kind kind) int64 {
	var most int64
	for _, answered := range c.answers {
		most = max(most, answered.entitled)
	}
	if kind.staysInUse {
		most = max(most, int64(c.demand.InUse))
	}
	return most
}

// total returns the whole demand: the amount in use and the amount that work waits for.
func (d Demand) total() int64 { return int64(d.InUse) + int64(d.Waiting) }

func clampToUint32(amount int64) uint32 { return uint32(min(max(amount, 0), math.MaxUint32)) }
