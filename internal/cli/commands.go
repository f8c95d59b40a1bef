package cli

// commandEntries lists every subcommand, parents before their children.
func commandEntries() []commandEntry {
	return []commandEntry{
		{name: "version", short: "Print the version and build data", constructor: func() command { return &versionCommand{} }},
		{name: "bench", short: "Measurements; each prints JSON"},
		{name: "standin", short: "Stand-ins for outside systems, for tests and demonstrations"},
		{name: "simulate", short: "Simulated fleets in virtual time"},
		{name: "table", short: "Show and change the table of weights and limits"},
		{name: "data", short: "Check and convert data folders offline"},
	}
}
