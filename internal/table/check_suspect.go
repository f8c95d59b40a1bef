package table

import (
	"strconv"
	"strings"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// suspectDigits is the length of a request's digest in a suspect's name, in hexadecimal digits.
const suspectDigits = 16

// IsSuspectName reports whether a row's name has the form of a suspect's: SuspectPrefix and a digest of 16 hexadecimal
// digits in lower case.
func IsSuspectName(name string) bool {
	digest, named := strings.CutPrefix(name, SuspectPrefix)
	_, err := strconv.ParseUint(digest, 16, 64)
	return named && err == nil && len(digest) == suspectDigits && digest == strings.ToLower(digest)
}

// checkReservedName refuses rows of other kinds whose names start with SuspectPrefix, because nodes create and remove
// rows with such names by themselves.
func checkReservedName(row *Row) []*wire.CellRefusal {
	if row.Kind == Suspect || !strings.HasPrefix(row.Name, SuspectPrefix) {
		return nil
	}
	return []*wire.CellRefusal{{Row: row.Name, Column: ColumnKind, Reason: "names that begin with " + SuspectPrefix + " are those of suspects"}}
}

// checkSuspect checks that a suspect's name contains a digest, which requests are compared with.
func checkSuspect(row *Row) []*wire.CellRefusal {
	if IsSuspectName(row.Name) {
		return nil
	}
	return []*wire.CellRefusal{{Row: row.Name, Column: ColumnKind,
		Reason: "a suspect is named " + SuspectPrefix + " and a digest of 16 hexadecimal digits, as logs show it"}}
}
