package table

import (
	"strconv"
	"strings"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// suspectDigits is the length of a request's digest in a suspect's name, in hexadecimal.
const suspectDigits = 16

// NamesSuspect tells whether a row's name is that of a suspect: the prefix and a digest in lower case.
func NamesSuspect(name string) bool {
	digest, named := strings.CutPrefix(name, SuspectPrefix)
	_, err := strconv.ParseUint(digest, 16, 64)
	return named && err == nil && len(digest) == suspectDigits && digest == strings.ToLower(digest)
}

// checkNamed refuses other rows under the names of suspects, which nodes make and remove by themselves.
func checkNamed(row *Row) []*wire.CellRefusal {
	if row.Kind == Suspect || !strings.HasPrefix(row.Name, SuspectPrefix) {
		return nil
	}
	return []*wire.CellRefusal{{Row: row.Name, Column: ColumnKind, Reason: "names that begin with " + SuspectPrefix + " are those of suspects"}}
}

// checkSuspect judges one suspect: its name holds a digest, so that requests can be compared with it.
func checkSuspect(row *Row) []*wire.CellRefusal {
	if NamesSuspect(row.Name) {
		return nil
	}
	return []*wire.CellRefusal{{Row: row.Name, Column: ColumnKind,
		Reason: "a suspect is named " + SuspectPrefix + " and a digest of 16 hexadecimal digits, as logs show it"}}
}
