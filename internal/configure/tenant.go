package configure

import (
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/tenant"
)

// Tenant is a caller of the site. The table holds only digests of its keys.
type Tenant struct {
	Name     string
	Keys     []string
	Priority *uint32 // rank of its requests, which overrides that of their routes; nil if it has none
	Rate     uint32  // requests per second, summed over all gateways; 0 for no limit
}

// cells returns the cells of the tenant's row, without its rate.
func (t *Tenant) cells() cells {
	digests := make([]string, 0, len(t.Keys))
	for _, key := range t.Keys {
		digests = append(digests, tenant.Digest(key))
	}
	priority := ""
	if t.Priority != nil {
		priority = formatNumber(uint64(*t.Priority))
	}
	return cells{table.ColumnKind: string(table.Tenant), table.ColumnTenantName: t.Name,
		table.ColumnKeyDigests: strings.Join(digests, ","), table.ColumnPriority: priority}
}

// checkTenants refuses tenants that share a name or a key, and keys that cannot be sent in a request.
func checkTenants(tenants []Tenant) error {
	names := make(map[string]bool, len(tenants))
	owners := map[string]string{}
	for position := range tenants {
		t := &tenants[position]
		if t.Name == "" || names[t.Name] {
			return trace.BadParameter("tenant %q has no name or stands twice", t.Name)
		}
		names[t.Name] = true
		for _, key := range t.Keys {
			if err := tenant.CheckKey(key); err != nil {
				return trace.Wrap(err, "tenant %q", t.Name)
			}
			if owner, taken := owners[key]; taken {
				return trace.BadParameter("a key of tenant %q is also one of tenant %q, or stands twice", t.Name, owner)
			}
			owners[key] = t.Name
		}
	}
	return nil
}
