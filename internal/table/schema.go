package table

// RowKind says what a row stands for.
type RowKind string

// The kinds of row, as written in the column "kind".
const (
	Pool    RowKind = "pool"
	Backend RowKind = "backend"
)

// State says whether a row takes new work, as written in the column "state".
type State string

// The states of a row.
const (
	Active   State = "active"   // takes new work
	Draining State = "draining" // finishes what it has, takes nothing new
	Removed  State = "removed"  // takes nothing; kept for the record until the row is removed
)

// Service is what the back ends of a pool are, as written in the column "service".
type Service string

// The services.
const (
	Engine      Service = "engine"      // model engine with the OpenAI interface
	Application Service = "application" // application replica with named operations
)

// ValueType says how the text of a cell is read.
type ValueType uint8

// The types of value.
const (
	Choice   ValueType = iota + 1 // one of Column.Choices
	Name                          // letters, digits, '.', '_' and '-', at most 100 bytes
	Address                       // IP:port
	Unsigned                      // decimal number between Column.Minimum and Column.Maximum
	NameList                      // names separated by commas, no name twice
)

// String returns the type's name as the operators' page prints it.
func (t ValueType) String() string {
	switch t {
	case Choice:
		return "choice"
	case Name:
		return "name"
	case Address:
		return "IP:port"
	case Unsigned:
		return "number"
	case NameList:
		return "list of names"
	default:
		return "unknown"
	}
}

// Column describes one column: what its cells may hold and what they mean.
type Column struct {
	Name      string
	Type      ValueType
	Unit      string // of a number; empty if it has none
	Minimum   uint64
	Maximum   uint64
	Choices   []string  // of a Choice
	Default   string    // canonical text that a cleared or unset cell stands for; empty: none
	Rows      []RowKind // kinds of row that may hold the column
	Inherited bool      // a back end without a cell of its own takes its pool's
	Help      string    // one sentence for operators

	assign func(row *Row, canonical string)
}

// AppliesTo reports whether a row of the kind may hold the column.
func (c *Column) AppliesTo(kind RowKind) bool {
	for _, candidate := range c.Rows {
		if candidate == kind {
			return true
		}
	}
	return false
}

// The names of the columns.
const (
	ColumnKind           = "kind"
	ColumnPool           = "pool"
	ColumnAddress        = "address"
	ColumnZone           = "zone"
	ColumnState          = "state"
	ColumnService        = "service"
	ColumnWeight         = "weight"
	ColumnMaxInFlight    = "max_in_flight"
	ColumnQueueLimit     = "queue_limit"
	ColumnQueueWait      = "queue_wait_millis"
	ColumnLiveRoom       = "live_room"
	ColumnRolloutShare   = "rollout_share"
	ColumnClassOrder     = "class_order"
	ColumnStalenessBound = "staleness_bound"
	ColumnDeadline       = "deadline_millis"
)

const (
	maximumSlots  = 100_000
	maximumQueue  = 1_000_000
	maximumMillis = 24 * 60 * 60 * 1000
)

var (
	bothKinds   = []RowKind{Pool, Backend}
	poolOnly    = []RowKind{Pool}
	backendOnly = []RowKind{Backend}
)

var columns = []Column{
	{Name: ColumnKind, Type: Choice, Choices: []string{string(Pool), string(Backend)}, Rows: bothKinds,
		Help:   "What the row stands for. Required, and fixed once the row exists.",
		assign: func(row *Row, value string) { row.Kind = RowKind(value) }},
	{Name: ColumnPool, Type: Name, Rows: backendOnly,
		Help:   "Pool that the back end belongs to. Required; the pool's row must exist.",
		assign: func(row *Row, value string) { row.Pool = value }},
	{Name: ColumnAddress, Type: Address, Rows: backendOnly,
		Help:   "Where the back end listens. Required.",
		assign: func(row *Row, value string) { row.Address = value }},
	{Name: ColumnZone, Type: Name, Rows: backendOnly,
		Help:   "Zone of the back end; gateways of the same zone prefer it when loads are alike.",
		assign: func(row *Row, value string) { row.Zone = value }},
	{Name: ColumnState, Type: Choice, Default: string(Active), Rows: bothKinds,
		Choices: []string{string(Active), string(Draining), string(Removed)},
		Help:    "Whether the row takes new work. A pool's draining or removed state holds for its back ends too.",
		assign:  func(row *Row, value string) { row.State = State(value) }},
	{Name: ColumnService, Type: Choice, Default: string(Engine), Rows: poolOnly, Inherited: true,
		Choices: []string{string(Engine), string(Application)},
		Help:    "What the pool's back ends are: model engines or application replicas.",
		assign:  func(row *Row, value string) { row.Service = Service(value) }},
	{Name: ColumnWeight, Type: Unsigned, Maximum: 1000, Default: "100", Rows: bothKinds, Inherited: true,
		Help:   "Relative share of the pool's requests; 0 takes nothing new.",
		assign: func(row *Row, value string) { row.Weight = uint32(number(value)) }},
	{Name: ColumnMaxInFlight, Type: Unsigned, Unit: "requests", Minimum: 1, Maximum: maximumSlots, Default: "64",
		Rows: bothKinds, Inherited: true,
		Help:   "Requests that all gateways together may have at one back end at a time.",
		assign: func(row *Row, value string) { row.MaxInFlight = uint32(number(value)) }},
	{Name: ColumnQueueLimit, Type: Unsigned, Unit: "requests", Maximum: maximumQueue, Default: "256",
		Rows: bothKinds, Inherited: true,
		Help:   "Requests that may wait for a slot; above it a request is refused at once as not run.",
		assign: func(row *Row, value string) { row.QueueLimit = uint32(number(value)) }},
	{Name: ColumnQueueWait, Type: Unsigned, Unit: "ms", Maximum: maximumMillis, Default: "1000",
		Rows: bothKinds, Inherited: true,
		Help:   "Longest time that a request may wait for a slot before it is refused as not run.",
		assign: func(row *Row, value string) { row.QueueWait = milliseconds(value) }},
	{Name: ColumnLiveRoom, Type: Unsigned, Unit: "requests", Maximum: maximumSlots, Default: "0",
		Rows: bothKinds, Inherited: true,
		Help:   "Slots of a back end that rollout work may not use. At most max_in_flight.",
		assign: func(row *Row, value string) { row.LiveRoom = uint32(number(value)) }},
	{Name: ColumnRolloutShare, Type: Unsigned, Unit: "%", Maximum: 100, Default: "100",
		Rows: bothKinds, Inherited: true,
		Help:   "Largest part of a back end's slots that rollout work may hold; 0 stops rollouts there.",
		assign: func(row *Row, value string) { row.RolloutShare = uint32(number(value)) }},
	{Name: ColumnClassOrder, Type: NameList, Default: "live,rollout", Rows: poolOnly, Inherited: true,
		Help:   "Caller classes, most urgent first; a class that is not named comes after all of them.",
		assign: func(row *Row, value string) { row.ClassOrder = names(value) }},
	{Name: ColumnStalenessBound, Type: Unsigned, Unit: "versions", Maximum: 1000, Default: "4",
		Rows: poolOnly, Inherited: true,
		Help:   "Oldest sample that a trainer may be handed, in weight versions behind the trainer's own.",
		assign: func(row *Row, value string) { row.StalenessBound = uint32(number(value)) }},
	{Name: ColumnDeadline, Type: Unsigned, Unit: "ms", Minimum: 1, Maximum: maximumMillis, Default: "60000",
		Rows: poolOnly, Inherited: true,
		Help:   "Time that a request has from its arrival when its caller names no deadline.",
		assign: func(row *Row, value string) { row.Deadline = milliseconds(value) }},
}

var columnIndex = func() map[string]*Column {
	index := make(map[string]*Column, len(columns))
	for position := range columns {
		index[columns[position].Name] = &columns[position]
	}
	return index
}()

// Schema returns every column in the order in which operators read them.
func Schema() []Column { return append([]Column(nil), columns...) }

// Lookup returns the column of a name.
func Lookup(name string) (Column, bool) {
	column, ok := columnIndex[name]
	if !ok {
		return Column{}, false
	}
	return *column, true
}
