package table

import (
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// MaximumHeaderValueBytes bounds a cell of type HeaderValue: a tenant's name stands in the head of every request.
const MaximumHeaderValueBytes = 256

// canonicalHeaderValue takes text that a header field can carry as it stands.
func canonicalHeaderValue(text string) (string, error) {
	if text == "" || len(text) > MaximumHeaderValueBytes || strings.TrimSpace(text) != text {
		return "", trace.BadParameter("want 1 to %d bytes without blanks at either end", MaximumHeaderValueBytes)
	}
	if strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) >= 0 {
		return "", trace.BadParameter("%q holds a character that a header can't carry", text)
	}
	return text, nil
}

// checkTenant judges one tenant: it has a name.
func checkTenant(row *Row) []*wire.CellRefusal {
	if row.TenantName == "" {
		return []*wire.CellRefusal{{Row: row.Name, Column: ColumnTenantName, Reason: "a tenant needs a name"}}
	}
	return nil
}

// checkTenants refuses two tenants of one name, or with a key in common: a key must tell who calls.
func checkTenants(view *View) []*wire.CellRefusal {
	var refusals []*wire.CellRefusal
	names, keys := map[string]string{}, map[string]string{}
	for _, name := range view.names {
		row := view.rows[name]
		if row.Kind != Tenant {
			continue
		}
		if other, twice := names[row.TenantName]; twice {
			refusals = append(refusals, &wire.CellRefusal{Row: name, Column: ColumnTenantName, Reason: "row " + other + " has the same tenant name"})
		}
		names[row.TenantName] = name
		for _, digest := range row.KeyDigests {
			if other, twice := keys[digest]; twice {
				refusals = append(refusals, &wire.CellRefusal{Row: name, Column: ColumnKeyDigests, Reason: "row " + other + " has the same key"})
			}
			keys[digest] = name
		}
	}
	return refusals
}
