package table

var (
	tenantOnly    = []RowKind{Tenant}
	routeOrTenant = []RowKind{Route, Tenant}
)

// tenantColumns are the columns that say who may call the gateways.
var tenantColumns = []Column{
	{Name: ColumnKeysRequired, Type: Choice, Choices: yesOrNo, Default: "false", Rows: listenOnly,
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
		assign: func(row *Row, value string) { row.KeyDigests = names(value) }},
}
