package table

// SuspectPrefix is the prefix of a suspect's row name; the digest of the request follows it.
const SuspectPrefix = "suspect."

const maximumCrashes = 1000

var suspectOnly = []RowKind{Suspect}

// suspectColumns are the columns of suspects, which are requests that back ends crashed on.
var suspectColumns = []Column{
	{Name: ColumnCrashes, Type: Unsigned, Unit: "back ends", Minimum: 1, Maximum: maximumCrashes, Default: "1", Rows: suspectOnly, Optional: true,
		Help:   "Back ends that crashed while they ran the request, counting a run that is claimed and not over. From 2 on it rests, and then runs one at a time.",
		assign: func(row *Row, value string) { row.Crashes = uint32(parseNumber(value)) }},
	{Name: ColumnCrashed, Type: HeaderValue, Rows: suspectOnly, Optional: true,
		Help:   "The back ends that crashed last, oldest first, separated by commas. trial:NAME crashed under a single run, claim:NAME is a claimed run that is not over.",
		assign: func(row *Row, value string) { row.CrashedBackEnds = value }},
	{Name: ColumnSubject, Type: HeaderValue, Rows: suspectOnly, Optional: true,
		Help:   "Tenant, method, host and path of the request, for people.",
		assign: func(row *Row, value string) { row.Subject = value }},
}
