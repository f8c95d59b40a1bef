package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/share"
)

var (
	shareLimitDesc    = describe("shared_slots_limit", "Slots of a pool that the gateways divide; only on the leader.", "pool")
	shareForceDesc    = describe("shared_slots_in_force", "Of them, those that gateways may be using by their shares, without what is lent; only on the leader.", "pool")
	shareInUseDesc    = describe("shared_slots_in_use", "Requests in flight at gateways that told a demand; only on the leader.", "pool")
	shareWaitingDesc  = describe("shared_slots_waiting", "Requests that wait at gateways for slots of a pool; only on the leader.", "pool")
	sharedTenantsDesc = describe("quota_tenants", "Tenants whose rate is divided between gateways now; only on the leader.")
	shareDescs        = []*prometheus.Desc{shareLimitDesc, shareForceDesc, shareInUseDesc, shareWaitingDesc, sharedTenantsDesc}
)

// collectShares collects the metrics of divided resources. Tenants are only counted, since there may be thousands.
func collectShares(out chan<- prometheus.Metric, usages []share.Usage) {
	tenants := uint64(0)
	for _, usage := range usages {
		pool, is := share.PoolOf(usage.Resource)
		if !is {
			tenants += boolValue(usage.Holders > 0)
			continue
		}
		gauge(out, shareLimitDesc, uint64(usage.Limit), pool)
		gauge(out, shareForceDesc, uint64(usage.Entitled), pool)
		gauge(out, shareInUseDesc, uint64(usage.InUse), pool)
		gauge(out, shareWaitingDesc, uint64(usage.Waiting), pool)
	}
	gauge(out, sharedTenantsDesc, tenants)
}
