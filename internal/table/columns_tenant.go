package table

import "github.com/tamarindring/tamarindring/internal/compat"

var (
	tenantOnly    = []RowKind{Tenant}
	routeOrTenant = []RowKind{Route, Tenant}
)

// tenantColumns are the columns that control who may call the gateways, and how much.
var tenantColumns = []Column{
	{Name: ColumnKeysRequired, Type: Choice, Choices: yesOrNo, Default: "false", Rows: listenerOnly,
		Help:   "Whether requests need the key of a tenant; a route that is anonymous needs none.",
		assign: func(row *Row, value string) { row.KeysRequired = value == "true" }},
	{Name: ColumnAnonymous, Type: Choice, Choices: yesOrNo, Default: "false", Rows: routeOnly,
		Help:   "Whether the route's requests need no key although the listener requires them.",
		assign: func(row *Row, value string) { row.Anonymous = value == "true" }},
	{Name: ColumnTenantName, Type: HeaderValue, Rows: tenantOnly,
		Help:   "Name of the tenant as back ends are told it. Required; no two tenants have one name.",
		assign: func(row *Row, value string) { row.TenantName = value }},
	{Name: ColumnKeyDigests, Type: NameList, Rows: tenantOnly,
		Help:   "SHA-256 digests of the tenant's keys, in hexadecimal; no two tenants share one. Without any the tenant can't call.",
		assign: func(row *Row, value string) { row.KeyDigests = parseNames(value) }},
	{Name: ColumnRate, Type: Unsigned, Unit: "requests a second", Maximum: maximumRate, Default: "0", Rows: tenantOnly, Since: compat.Shares,
		Help:   "Requests of the tenant that all gateways together let through in a second; 0 for no limit.",
		assign: func(row *Row, value string) { row.Rate = uint32(parseNumber(value)) }},
	{Name: ColumnBurst, Type: Unsigned, Unit: "requests", Maximum: maximumRate, Default: "0", Rows: tenantOnly, Since: compat.Shares,
		Help:   "Requests of the tenant that may come at once beyond its rate; 0 for as many as the rate allows in a second.",
		assign: func(row *Row, value string) { row.Burst = uint32(parseNumber(value)) }},
	{Name: ColumnConcurrency, Type: Unsigned, Unit: "requests", Maximum: maximumSlots, Default: "0", Rows: tenantOnly, Since: compat.Shares,
		Help:   "Requests of the tenant that all gateways together have in flight; 0 for no limit.",
		assign: func(row *Row, value string) { row.Concurrency = uint32(parseNumber(value)) }},
	{Name: ColumnTenantWeight, Type: Unsigned, Minimum: 1, Maximum: 1000, Default: "100", Rows: tenantOnly, Since: compat.Shares,
		Help:   "Share of the tenant where requests of several tenants wait, relative to the others' weights.",
		assign: func(row *Row, value string) { row.TenantWeight = uint32(parseNumber(value)) }},
}

// maximumRate bounds a tenant's rate, in requests per second, and its burst, in requests.
const maximumRate = 10_000_000
