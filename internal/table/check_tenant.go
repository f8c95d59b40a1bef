package table

import (
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// MaximumHeaderValueBytes bounds a cell of type HeaderValue. A tenant's name is sent in a header field of every
// request.
const MaximumHeaderValueBytes = 256

// canonicalHeaderValue accepts text that can be sent unchanged as the value of a header field.
func canonicalHeaderValue(text string) (string, error) {
	if text == "" || len(text) > MaximumHeaderValueBytes || strings.TrimSpace(text) != text {
		return "", trace.BadParameter("want 1 to %d bytes without blanks at either end", MaximumHeaderValueBytes)
	}
	if strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) >= 0 {
		return "", trace.BadParameter("%q holds a character that a header can't carry", text)
	}
	return text, nil
}

// checkTenant checks that a tenant has a name.
func checkTenant(row *Row) []*wire.CellRefusal {
	if row.TenantName == "" {
		return []*wire.CellRefusal{{Row: row.Name, Column: ColumnTenantName, Reason: "a tenant needs a name"}}
	}
	return nil
}

// checkTenants refuses two tenants with the same name or with a common key, because a key must identify one tenant.
func checkTenants(view *View) []*wire.CellRefusal {
	var refusals []*wire.CellRefusal
	names, keys := map[string]string{}, map[string]string{}
	for _, row := range view.OfKind(Tenant) {
		if other, duplicate := names[row.TenantName]; duplicate {
			refusals = append(refusals, &wire.CellRefusal{Row: row.Name, Column: ColumnTenantName, Reason: "row " + other + " has the same tenant name"})
		}
		names[row.TenantName] = row.Name
		for _, digest := range row.KeyDigests {
			if other, duplicate := keys[digest]; duplicate {
				refusals = append(refusals, &wire.CellRefusal{Row: row.Name, Column: ColumnKeyDigests, Reason: "row " + other + " has the same key"})
			}
			keys[digest] = row.Name
		}
	}
	return refusals
}
