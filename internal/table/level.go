package table

import "github.com/tamarindring/tamarindring/internal/compat"

// optionalFrom is the level from which every build knows all optional columns.
const optionalFrom = compat.Shares

// SetLevel brings a level into force. Below a column's level, cells of the column are refused, so that this build
// decides as the builds from before levels do.
func (t *Table) SetLevel(level compat.Level) { t.level = level }

// levelReason returns why a cell of the column is not accepted at the level in force, or an empty string.
func (t *Table) levelReason(column *Column) string {
	if t.level.Includes(column.Since) {
		return ""
	}
	return "column " + column.Name + " needs " + column.Since.String() + ", and " + t.level.String() +
		" is in force: some processes are of an older build; see tamarindring upgrade check"
}

// isKnownToAll reports whether every build that may be in the group knows the column. The removal of a row that is
// created again is recorded in such columns only, because an older build could not read the table otherwise.
func (t *Table) isKnownToAll(column *Column) bool {
	if !t.level.Includes(column.Since) {
		return false
	}
	return !column.Optional || t.level.Includes(optionalFrom) || t.optional[column.Name] > 0
}

// countOptional adds more to the number of rows that have a cell of the column, if the column is optional.
func (t *Table) countOptional(column string, more int) {
	if known := columnIndex[column]; known != nil && known.Optional {
		t.optional[column] += more
	}
}
