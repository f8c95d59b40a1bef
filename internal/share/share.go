// Package share divides a fleet-wide limit on a resource, such as the slots of a pool or a tenant's request rate,
// between the processes that use it. Processes report their demand when they renew their lease. The leader of the
// control group answers with their shares, which are valid until that lease ends. The division is not replicated: a
// new leader learns the demands from the renewals.
//
// The package has no clock: times are durations since an arbitrary start.
package share

import "strings"

// Demand is the amount of a resource that one process uses and the additional amount that work waits for, in the
// resource's unit.
type Demand struct {
	InUse   uint32
	Waiting uint32
}

// Source provides a process's shares and takes its demands. It is usually implemented by the session with the control
// group. It is safe for concurrent use.
type Source interface {
	// Share returns the amount of a resource that the process may use now. divided is false if no leader divides the
	// resource: the leader runs an older build, or has not answered a demand for it yet.
	Share(resource string) (amount uint32, divided bool)
	// SetDemand sets the process's demand, which is reported with the next renewal of the lease.
	SetDemand(resource string, demand Demand)
	// RenewEarly requests an early renewal of the lease, because work waits for a larger share.
	RenewEarly()
}

// Prefixes of resource names, one for each kind of resource.
const (
	prefixSlots = "slots/"
	prefixRate  = "rate/"
	prefixCalls = "calls/"
	prefixTurn  = "turn/"
	prefixBytes = "bytes/"
)

// Slots returns the resource name of a pool's slots. Unit: requests in flight.
func Slots(pool string) string { return prefixSlots + pool }

// Rate returns the resource name of a tenant's request rate. Unit: 1/RateUnit requests per second.
func Rate(tenant string) string { return prefixRate + tenant }

// Calls returns the resource name of a tenant's concurrency. Unit: requests in flight.
func Calls(tenant string) string { return prefixCalls + tenant }

// PoolOf returns the pool of a resource named by Slots. ok is false for other resources.
func PoolOf(resource string) (pool string, ok bool) { return strings.CutPrefix(resource, prefixSlots) }

// Turn returns the resource name of the right to send large bodies to a replica. One process has the right at a time,
// with a share of 1.
func Turn(instance string) string { return prefixTurn + instance }

// Bytes returns the resource name of the limit on the large bodies that one replica of a pool may hold. This limit is
// not divided: each process reports the limit that it has learned in Demand.InUse, where 0 means none, and the share
// is the lowest reported limit. Demand.Waiting is 1 plus the size of the only large body that the process had at a
// replica that crashed recently. If several processes report such bodies and their sum is larger than SafeBytes, half
// of the sum becomes a limit. Unit: BytesUnit.
func Bytes(pool string) string { return prefixBytes + pool }

// SafeBytes is the total size of large bodies, in bytes, that every replica is assumed to have memory for. It is the
// size of the largest body that a caller may send.
const SafeBytes = 32 << 20

// BytesUnit is the unit of Bytes, in bytes.
const BytesUnit = 64 << 10

// TurnOf returns the replica of a resource named by Turn. ok is false for other resources.
func TurnOf(resource string) (instance string, ok bool) {
	return strings.CutPrefix(resource, prefixTurn)
}

// BytesPool returns the pool of a resource named by Bytes. ok is false for other resources.
func BytesPool(resource string) (pool string, ok bool) {
	return strings.CutPrefix(resource, prefixBytes)
}

// RateTenant returns the tenant of a resource named by Rate. ok is false for other resources.
func RateTenant(resource string) (tenant string, ok bool) {
	return strings.CutPrefix(resource, prefixRate)
}

// CallsTenant returns the tenant of a resource named by Calls. ok is false for other resources.
func CallsTenant(resource string) (tenant string, ok bool) {
	return strings.CutPrefix(resource, prefixCalls)
}

// RateUnit is the number of rate units per request per second. It is large enough to divide a rate of less than one
// request per second for each gateway, and small enough for the largest rate of a tenant to fit.
const RateUnit = 100

// kind holds the rules for one kind of resource. Lent amounts are granted beyond the limit, so the amount in force is
// at most the limit plus lent for each process.
type kind struct {
	// lent is the amount lent to each process while little work waits. After its last share has ended, a process may
	// use this amount without a new share.
	lent    int64
	minimum int64 // amount that each process may use, however much work waits
	// staysInUse is set if the amount in use does not fall at once when a share falls.
	staysInUse bool
	// reportsLowest is set if the resource is not divided and the share is the lowest reported amount.
	reportsLowest bool
}

const (
	// lentSlots is the number of slots lent to each gateway, so that in a pool with little load it can send the few
	// requests that arrive between two renewals without delay. If these are too many, they wait in the back ends' own
	// queues until the next renewals.
	lentSlots = 4
	// leastSlots is the least number of slots of a gateway. It keeps each gateway working when gateways outnumber the
	// slots of a full pool, and no slot stays idle until the next renewal.
	leastSlots = 1
)

// kindOf returns the rules for a resource. A tenant's quota is not lent, since its limit is guaranteed.
func kindOf(resource string) kind {
	switch {
	case strings.HasPrefix(resource, prefixSlots):
		return kind{lent: lentSlots, minimum: leastSlots, staysInUse: true}
	case strings.HasPrefix(resource, prefixCalls), strings.HasPrefix(resource, prefixTurn):
		return kind{staysInUse: true}
	case strings.HasPrefix(resource, prefixBytes):
		return kind{reportsLowest: true}
	}
	return kind{}
}
