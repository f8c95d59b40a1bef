package table

import (
	"strconv"
	"strings"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// suspectDigits is the length of a request's digest in a suspect's name, in hexadecimal.
const suspectDigits = 16

// checkSuspect judges one suspect: its name holds a digest, so that requests can be compared with it.
func checkSuspect(row *Row) []*wire.CellRefusal {
	digest, named := strings.CutPrefix(row.Name, SuspectPrefix)
	if _, err := strconv.ParseUint(digest, 16, 64); named && err == nil && len(digest) == suspectDigits && digest == strings.ToLower(digest) {
		return nil
	}
	return []*wire.CellRefusal{{Row: row.Name, Column: ColumnKind,
		Reason: "a suspect is named " + SuspectPrefix + " and a digest of 16 hexadecimal digits, as logs show it"}}
}
