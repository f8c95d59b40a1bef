package quota

import (
	"math"

	"github.com/tamarindring/tamarindring/internal/share"
)

// Demand returns a process's demand for a tenant's request rate, from the rates in requests per second that it let
// through and refused. InUse is the accepted rate. Waiting is the refused rate plus the accepted rate once more, so
// that the share allows a caller to send faster before the next renewal.
func Demand(taken, refused float64) share.Demand {
	return share.Demand{InUse: toRateUnits(taken), Waiting: toRateUnits(taken + refused)}
}

// toRateUnits converts a rate in requests per second to units of 1/share.RateUnit requests per second, rounded up.
func toRateUnits(rate float64) uint32 {
	return uint32(min(math.Ceil(rate*share.RateUnit), math.MaxUint32))
}
