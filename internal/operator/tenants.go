package operator

import (
	"crypto/rand"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/configure"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/tenant"
)

// displayedDigits is how many digits of a key's digest are displayed: enough to tell the keys of a deployment apart.
const displayedDigits = 12

// NewKey returns a random key of at least 128 bits.
func NewKey() string { return rand.Text() }

// TenantRowName returns the name of a tenant's table row, which is the same for `tenant add` and for configurations.
func TenantRowName(name string) string { return configure.RowName("tenant." + name) }

// keyDigests returns the digests of a tenant's keys.
func keyDigests(row Row) []string {
	joined := row.Cells[table.ColumnKeyDigests].Value
	if joined == "" {
		return nil
	}
	return strings.Split(joined, ",")
}

// findTenant returns the row of the tenant with a name. The error is trace.BadParameter if there is none.
func findTenant(sheet *Sheet, name string) (Row, error) {
	for _, row := range sheet.Rows {
		if row.Cells[table.ColumnKind].Value == string(table.Tenant) && row.Cells[table.ColumnTenantName].Value == name {
			return row, nil
		}
	}
	return Row{}, trace.BadParameter("there is no tenant %q", name)
}

// PlanTenantAdd plans a new tenant with one key. priority is the tenant's rank as text; if it is empty, the ranks of
// the routes apply.
func PlanTenantAdd(sheet *Sheet, name, key, priority string) (*Plan, error) {
	if _, err := findTenant(sheet, name); err == nil {
		return nil, trace.BadParameter("there is a tenant %q already; rotate gives it a further key", name)
	}
	row := TenantRowName(name)
	existing, taken := sheet.Row(row)
	if taken {
		return nil, trace.BadParameter("row %q stands for something else", row)
	}
	plan := &Plan{Base: sheet.Version}
	for _, cell := range []struct{ column, value string }{{table.ColumnKind, string(table.Tenant)}, {table.ColumnTenantName, name},
		{table.ColumnKeyDigests, tenant.Digest(key)}, {table.ColumnPriority, priority}} {
		value, err := canonicalValue(cell.column, cell.value)
		if err != nil {
			return nil, trace.BadParameter("%s: %v", cell.column, err)
		}
		plan.addEdit(existing, row, cell.column, value)
	}
	return plan, nil
}

// PlanTenantRotate plans to add a key to those that a tenant has.
func PlanTenantRotate(sheet *Sheet, name, key string) (*Plan, error) {
	row, err := findTenant(sheet, name)
	if err != nil {
		return nil, err
	}
	return planKeyDigests(sheet, row, append(keyDigests(row), tenant.Digest(key)))
}

// PlanTenantRevoke plans to revoke the key whose digest begins with a prefix, or all keys for an empty prefix. The
// error is trace.BadParameter unless a prefix matches exactly one key.
func PlanTenantRevoke(sheet *Sheet, name, prefix string) (*Plan, error) {
	row, err := findTenant(sheet, name)
	if err != nil {
		return nil, err
	}
	digests := keyDigests(row)
	remaining := slices.DeleteFunc(slices.Clone(digests), func(digest string) bool { return strings.HasPrefix(digest, prefix) })
	if revoked := len(digests) - len(remaining); prefix != "" && revoked != 1 {
		return nil, trace.BadParameter("%d keys of tenant %q have a digest that begins with %q, want one", revoked, name, prefix)
	}
	return planKeyDigests(sheet, row, remaining)
}

// planKeyDigests plans to replace the digests of a tenant's keys.
func planKeyDigests(sheet *Sheet, row Row, digests []string) (*Plan, error) {
	value, err := canonicalValue(table.ColumnKeyDigests, strings.Join(digests, ","))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	plan := &Plan{Base: sheet.Version}
	plan.addEdit(row, row.Name, table.ColumnKeyDigests, value)
	return plan, nil
}

// WriteTenants prints the tenants with the first digits of their keys' digests.
func WriteTenants(out io.Writer, sheet *Sheet) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "tenant\tpriority\tkeys\tdigests\tweight\trate/s\tburst\tconcurrency")
	for _, row := range sheet.Rows {
		if row.Cells[table.ColumnKind].Value != string(table.Tenant) {
			continue
		}
		digests := keyDigests(row)
		short := make([]string, 0, len(digests))
		for _, digest := range digests {
			short = append(short, digest[:min(len(digest), displayedDigits)])
		}
		fmt.Fprintf(writer, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", row.Cells[table.ColumnTenantName].Value, cellOrDash(row, table.ColumnPriority),
			len(digests), strings.Join(short, " "), cellOrDash(row, table.ColumnTenantWeight), cellOrDash(row, table.ColumnRate),
			cellOrDash(row, table.ColumnBurst), cellOrDash(row, table.ColumnConcurrency))
	}
	return trace.Wrap(writer.Flush())
}

// cellOrDash returns a cell's value, or a dash if the cell is not set.
func cellOrDash(row Row, column string) string {
	if value := row.Cells[column].Value; value != "" {
		return value
	}
	return "-"
}
