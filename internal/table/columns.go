package table

import (
	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/incarnation"
)

const (
	maximumSlots  = 100_000
	maximumQueue  = 1_000_000
	maximumMillis = 24 * 60 * 60 * 1000 // one day
	maximumTokens = 1 << 40
	maximumBytes  = 1 << 40

	// MaximumSequence is the sequence number of a registered back end that has left permanently. No later message can
	// have a higher number.
	MaximumSequence = 1<<63 - 1
)

var (
	poolOrBackend = []RowKind{Pool, Backend}
	poolOnly      = []RowKind{Pool}
	backendOnly   = []RowKind{Backend}
	poolOrRoute   = []RowKind{Pool, Route}
	everyKind     = []RowKind{Pool, Backend, Route, Listener, Tenant, Document, Suspect}
	routeOnly     = []RowKind{Route}
	listenerOnly  = []RowKind{Listener}
	documentOnly  = []RowKind{Document}

	yesOrNo = []string{"true", "false"}
)

var poolColumns = []Column{
	{Name: ColumnKind, Type: Choice, Rows: everyKind,
		Choices: []string{string(Pool), string(Backend), string(Route), string(Listener), string(Tenant), string(Document), string(Suspect)},
		Help:    "What the row stands for. Required, and fixed once the row exists.",
		assign:  func(row *Row, value string) { row.Kind = RowKind(value) }},
	{Name: ColumnPool, Type: Name, Rows: backendOnly,
		Help:   "Pool that the back end belongs to. Required; the pool's row must exist.",
		assign: func(row *Row, value string) { row.Pool = value }},
	{Name: ColumnAddress, Type: Address, Rows: backendOnly,
		Help:   "Where the back end listens. Required.",
		assign: func(row *Row, value string) { row.Address = value }},
	{Name: ColumnZone, Type: Name, Rows: backendOnly,
		Help:   "Zone of the back end; gateways of the same zone prefer it when loads are alike.",
		assign: func(row *Row, value string) { row.Zone = value }},
	{Name: ColumnState, Type: Choice, Default: string(Active), Rows: poolOrBackend,
		Choices: []string{string(Active), string(Draining), string(Removed)},
		Help:    "Whether the row takes new work. A pool's draining or removed state holds for its back ends too.",
		assign:  func(row *Row, value string) { row.State = State(value) }},
	{Name: ColumnService, Type: Choice, Default: string(Engine), Rows: poolOnly, Inherited: true,
		Choices: []string{string(Engine), string(Application)},
		Help:    "What the pool's back ends are: model engines or application replicas.",
		assign:  func(row *Row, value string) { row.Service = Service(value) }},
	{Name: ColumnWeight, Type: Unsigned, Maximum: 1000, Default: "100", Rows: poolOrBackend, Inherited: true,
		Help:   "Relative share of the pool's requests; 0 takes nothing new.",
		assign: func(row *Row, value string) { row.Weight = uint32(parseNumber(value)) }},
	{Name: ColumnMaxInFlight, Type: Unsigned, Unit: "requests", Minimum: 1, Maximum: maximumSlots, Default: "64",
		Rows: poolOrBackend, Inherited: true,
		Help:   "Requests that all gateways together may have at one back end at a time.",
		assign: func(row *Row, value string) { row.MaxInFlight = uint32(parseNumber(value)) }},
	{Name: ColumnQueueLimit, Type: Unsigned, Unit: "requests", Maximum: maximumQueue, Default: "256",
		Rows: poolOrBackend, Inherited: true,
		Help:   "Requests that may wait for a slot; above it a request is refused at once as not run.",
		assign: func(row *Row, value string) { row.QueueLimit = uint32(parseNumber(value)) }},
	{Name: ColumnQueueWait, Type: Unsigned, Unit: "ms", Maximum: maximumMillis, Default: "1000",
		Rows: poolOrBackend, Inherited: true,
		Help:   "Longest time that a request may wait for a slot before it is refused as not run.",
		assign: func(row *Row, value string) { row.QueueWait = parseMilliseconds(value) }},
	{Name: ColumnLiveReserve, Type: Unsigned, Unit: "requests", Maximum: maximumSlots, Default: "0",
		Rows: poolOrBackend, Inherited: true,
		Help:   "Slots of a back end that rollout work may not use. At most max_in_flight.",
		assign: func(row *Row, value string) { row.LiveReserve = uint32(parseNumber(value)) }},
	{Name: ColumnRolloutShare, Type: Unsigned, Unit: "%", Maximum: 100, Default: "100",
		Rows: poolOrBackend, Inherited: true,
		Help:   "Largest part of a back end's slots that rollout work may hold; 0 stops rollouts there.",
		assign: func(row *Row, value string) { row.RolloutShare = uint32(parseNumber(value)) }},
	{Name: ColumnClassOrder, Type: NameList, Default: "live,rollout", Rows: poolOnly, Inherited: true,
		Help:   "Caller classes, most urgent first; a class that is not named comes after all of them.",
		assign: func(row *Row, value string) { row.ClassOrder = parseNames(value) }},
	{Name: ColumnStalenessBound, Type: Unsigned, Unit: "versions", Maximum: 1000, Default: "4",
		Rows: poolOnly, Inherited: true,
		Help:   "Oldest sample that a trainer may be handed, in weight versions behind the trainer's own.",
		assign: func(row *Row, value string) { row.StalenessBound = uint32(parseNumber(value)) }},
	{Name: ColumnDeadline, Type: Unsigned, Unit: "ms", Minimum: 1, Maximum: maximumMillis, Default: "60000",
		Rows: poolOrRoute, Inherited: true,
		Help:   "Time that a request has from its arrival when its caller names no deadline.",
		assign: func(row *Row, value string) { row.Deadline = parseMilliseconds(value) }},
	{Name: ColumnMaxConnections, Type: Unsigned, Unit: "connections", Minimum: 1, Maximum: maximumSlots, Default: "1024",
		Rows: poolOrBackend, Inherited: true,
		Help:   "Connections that one back end accepts from all gateways together.",
		assign: func(row *Row, value string) { row.MaxConnections = uint32(parseNumber(value)) }},
	{Name: ColumnHealthPath, Type: Path, Rows: poolOnly, Inherited: true,
		Help:   "Path whose GET answers 200 while a back end thinks itself well.",
		assign: func(row *Row, value string) { row.HealthPath = value }},
	{Name: ColumnKVCapacity, Type: Unsigned, Unit: "tokens", Maximum: maximumTokens, Default: "0",
		Rows: poolOnly, Inherited: true,
		Help:   "Tokens that an engine's key-value cache holds, for running requests and kept prompts; 0 if unknown.",
		assign: func(row *Row, value string) { row.KVCapacity = parseNumber(value) }},
	{Name: ColumnSequence, Type: Unsigned, Maximum: MaximumSequence, Default: "0", Rows: backendOnly,
		Help:   "Number of the message by which a registered back end last changed its row; the largest: it left for good.",
		assign: func(row *Row, value string) { row.Sequence = parseNumber(value) }},
	{Name: ColumnStart, Type: Unsigned, Unit: "ms", Maximum: incarnation.MaximumStart, Default: "0", Rows: backendOnly, Optional: true,
		Help:   "When the registered back end started, as a Unix time; 0 if it does not say. A later start is another process.",
		assign: func(row *Row, value string) { row.Start = parseNumber(value) }},
	{Name: ColumnSharedSlots, Type: Choice, Choices: yesOrNo, Default: "false", Rows: poolOnly, Since: compat.Shares,
		Help:   "Whether the gateways divide the pool's slots by demand, so that together they keep its limits.",
		assign: func(row *Row, value string) { row.SharedSlots = value == "true" }},
	{Name: ColumnModels, Type: NameList, Rows: poolOnly, Inherited: true,
		Help:   "Models that the pool's engines hold weights of.",
		assign: func(row *Row, value string) { row.Models = parseNames(value) }},
}
