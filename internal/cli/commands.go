package cli

// commandEntries lists every subcommand, parents before their children.
func commandEntries() []commandEntry {
	return []commandEntry{
		{name: "version", short: "Print the version and build data", constructor: func() command { return &versionCommand{} }},
		{name: "config", short: "Check and print settings files"},
		{parent: "config", name: "check", short: "Check a settings file without starting anything", constructor: func() command { return &configCheckCommand{} }},
		{parent: "config", name: "print", short: "Print a role's settings with defaults and comments", constructor: func() command { return &configPrintCommand{} }},
		{parent: "config", name: "reference", short: "Print the reference page of all settings", constructor: func() command { return &configReferenceCommand{} }},
		{name: "gateway", short: "Run a gateway for callers", constructor: func() command { return &gatewayCommand{} }},
		{name: "bench", short: "Measurements; each prints JSON"},
		{parent: "bench", name: "consensus", short: "Durable claims a second, latency, failover and recovery of three local nodes", constructor: func() command { return &benchConsensusCommand{} }},
		{name: "standin", short: "Stand-ins for outside systems, for tests and demonstrations"},
		{parent: "standin", name: "engine", short: "Model engine", constructor: func() command { return &standinEngineCommand{} }},
		{parent: "standin", name: "application", short: "Application replica: push gateway and conference bridge", constructor: func() command { return &standinApplicationCommand{} }},
		{parent: "standin", name: "scorer", short: "Scoring service", constructor: func() command { return &standinScorerCommand{} }},
		{parent: "standin", name: "trainer", short: "Trainer", constructor: func() command { return &standinTrainerCommand{} }},
		{parent: "standin", name: "weight-store", short: "Rate-limited weight store", constructor: func() command { return &standinWeightStoreCommand{} }},
		{parent: "standin", name: "platform", short: "Lagging list of machines", constructor: func() command { return &standinPlatformCommand{} }},
		{name: "load", short: "Drive gateways with a workload and check every answer", constructor: func() command { return &loadCommand{} }},
		{name: "simulate", short: "Simulated fleets in virtual time"},
		{name: "control", short: "Run a control node", constructor: func() command { return &controlCommand{} }},
		{name: "table", short: "Show and change the table of weights and limits"},
		{parent: "table", name: "show", short: "Print the table", constructor: func() command { return &tableShowCommand{} }},
		{parent: "table", name: "set", short: "Set one cell", constructor: func() command { return &tableSetCommand{} }},
		{parent: "table", name: "apply", short: "Apply an edited sheet as one change", constructor: func() command { return &tableApplyCommand{} }},
		{parent: "table", name: "diff", short: "Show what applying a sheet would change", constructor: func() command { return &tableDiffCommand{} }},
		{parent: "table", name: "history", short: "Show who changed what", constructor: func() command { return &tableHistoryCommand{} }},
		{parent: "table", name: "revert", short: "Undo one version by a new change", constructor: func() command { return &tableRevertCommand{} }},
		{parent: "table", name: "watch", short: "Print changes as they are made", constructor: func() command { return &tableWatchCommand{} }},
		{name: "data", short: "Check and convert data folders offline"},
		{parent: "data", name: "check", short: "Verify a stopped node's data folder", constructor: func() command { return &dataCheckCommand{} }},
	}
}
