package configure

import (
	"sort"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// StoredConfiguration returns the revision and text of the configuration in a view. The revision is 0 if there is none.
func StoredConfiguration(view *table.View) (uint64, string) {
	row := view.Row(DocumentRow)
	if row == nil || row.Kind != table.Document {
		return 0, ""
	}
	return row.Revision, row.Text
}

// Plan returns the change that writes the configuration to the table of the view, without id, operator and note. It
// returns nil if the view has the same or a higher revision. Routes and tenants that the configuration does not name
// are removed. Pools are not, because registered back ends may still belong to them.
func Plan(view *table.View, c *Configuration) (*wire.TableChange, error) {
	if revision, _ := StoredConfiguration(view); revision >= c.Revision {
		return nil, nil
	}
	if err := Check(c); err != nil {
		return nil, err
	}
	change := &wire.TableChange{BaseVersion: view.Version()}
	desired := c.rows()
	for _, name := range sortedKeys(desired) {
		planned, err := planRow(view.Row(name), name, desired[name])
		if err != nil {
			return nil, err
		}
		change.Cells = append(change.Cells, planned...)
	}
	for _, row := range view.Rows() {
		_, stays := desired[row.Name]
		if !stays && isOwnedRow(row) {
			change.RemoveRows = append(change.RemoveRows, row.Name)
		}
	}
	return change, nil
}

// Supplement returns the change that adds missing cells of the configuration, without id, operator and note. It returns
// nil if there are none, or if the view does not have exactly this configuration. It sets columns of a level that came
// into force after the configuration was written, and never changes a cell that is set.
func Supplement(view *table.View, c *Configuration) (*wire.TableChange, error) {
	if revision, text := StoredConfiguration(view); revision != c.Revision || text != c.Text {
		return nil, nil
	}
	change := &wire.TableChange{BaseVersion: view.Version()}
	desired := c.rows()
	for _, name := range sortedKeys(desired) {
		existing := view.Row(name)
		if existing == nil {
			continue
		}
		planned, err := planRow(existing, name, desired[name])
		if err != nil {
			return nil, err
		}
		for _, cell := range planned {
			if _, set := existing.Explicit(cell.Column); !set {
				change.Cells = append(change.Cells, cell)
			}
		}
	}
	if len(change.Cells) == 0 {
		return nil, nil
	}
	return change, nil
}

// isOwnedRow reports whether a row is added by a configuration and removed by a later one that does not name it.
func isOwnedRow(row *table.Row) bool {
	return row.Kind == table.Route && strings.HasPrefix(row.Name, routePrefix) ||
		row.Kind == table.Tenant && strings.HasPrefix(row.Name, tenantPrefix)
}

// planRow returns the desired cells of a row that differ from the row in the table, which is nil if it does not exist.
func planRow(existing *table.Row, name string, desired cells) ([]*wire.CellChange, error) {
	var planned []*wire.CellChange
	for _, columnName := range sortedKeys(desired) {
		column, known := table.Lookup(columnName)
		if !known {
			return nil, trace.BadParameter("column %q is not known", columnName)
		}
		value := desired[columnName]
		if value != "" {
			canonical, err := column.Canonical(value)
			if err != nil {
				return nil, trace.Wrap(err, "%s of %s", columnName, name)
			}
			value = canonical
		}
		current := ""
		if existing != nil {
			current, _ = existing.Explicit(columnName)
		}
		if value != current || (existing == nil && value != "") {
			planned = append(planned, &wire.CellChange{Row: name, Column: columnName, Value: value})
		}
	}
	return planned, nil
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
