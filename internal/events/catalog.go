package events

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// Area is a section of the catalog with the events of one subject.
type Area struct {
	Title  string
	Events []logging.Event // pointers to zero values, one for each kind
}

// Catalog returns all kinds of events, grouped by area.
func Catalog() []Area {
	return []Area{
		{"Requests", []logging.Event{&RequestAnswered{}, &RequestFailed{}, &AdmissionRefused{}, &RequestRefused{}, &RequestPanicked{}, &CallerCut{}, &AttemptFailed{}, &AttemptHedged{}, &RetryRefused{},
			&ReplicaQuarantined{}, &ReplicaRestored{}, &LargeBodyCrash{}, &ShareShort{}, &LoadReportUnreadable{}, &SuspectChanged{}}},
		{"Batch jobs", []logging.Event{&JobSubmitted{}, &JobCallFailed{}, &NearNodeRests{}, &JobEnded{}, &RunnerBegan{}, &RunnerEnded{}, &JobOpened{},
			&JobClosed{}, &BatchTurns{}, &RunStarted{}, &RunEnded{}, &ItemWaits{}, &JobsUnread{}, &ItemFinished{}, &RewardBegan{}, &RewardTried{}, &RewardEnded{},
			&ResultsCommitted{}, &ReplicaSuspended{}, &ExecutorGreeted{}, &ExecutorLost{}, &RunTakenOver{}, &RunAbandoned{}}},
		{"Samples", []logging.Event{&SampleStarted{}, &SampleInterrupted{}, &SampleGenerated{}}},
		{"Weights", []logging.Event{&VersionReleased{}, &OrderSent{}, &OrderEnded{}, &OrdersTaken{}, &OrdersOffered{}, &OrdersSuperseded{}, &ReplicasSurveyed{}}},
		{"Usage", []logging.Event{&UsageSealed{}, &UsageReported{}, &UsageLate{}}},
		{"Control", []logging.Event{&LeaderChanged{}, &GroupWithoutLeader{}, &GroupLeaderKnown{}, &VotersSilent{}, &GreetingRefused{}, &StreamRefused{},
			&LeadershipYielded{}, &GroupChanged{}, &PeerLost{}, &PeerFound{}, &DiskChanged{}, &SnapshotLeftOut{}, &SnapshotSent{}, &SnapshotReceived{}, &GroupHoldings{}, &JobsFull{}, &MemberChanged{}, &MemberOutranked{}, &StartRenumbered{}, &StartSuperseded{}, &ControlFound{}, &ControlLost{}, &LeaseLost{},
			&LeaseRegained{}, &TableAdopted{}, &StateUnread{}, &OperatorCall{}, &ReplicaRegistered{}, &ReplicaRestarted{}, &EntrySkipped{}, &ReplicaDeferred{},
			&ReplicasSilent{}, &HeartbeatsRejected{}, &LevelRaised{}, &LevelKnown{}}},
		{"Processes", []logging.Event{&ProcessStarted{}, &ProcessMemory{}, &ProcessServing{}, &ProcessStopping{}, &ProcessStopped{}, &SettingsReloaded{},
			&logging.LinesLeftOut{}}},
	}
}

// Field describes one field of an event's log line.
type Field struct {
	Name string // name in the line
	Doc  string // description for operators
}

// Fields returns the fields of an event's log line, in the order of the line. The event is a pointer to a struct.
func Fields(event logging.Event) []Field {
	eventType := reflect.TypeOf(event).Elem()
	fields := make([]Field, 0, eventType.NumField())
	for position := range eventType.NumField() {
		tag := eventType.Field(position).Tag
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		fields = append(fields, Field{Name: name, Doc: tag.Get("doc")})
	}
	return fields
}

// Markdown returns the reference page of all events, as docs/operations/events.md holds it.
func Markdown() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, area := range Catalog() {
		fmt.Fprintf(&page, "\n## %s\n", area.Title)
		for _, event := range area.Events {
			kind := event.Kind()
			fmt.Fprintf(&page, "\n### `%s` (%s, at most %d a second)\n\n| field | meaning |\n| --- | --- |\n", kind.Name, kind.Level, kind.PerSecond)
			for _, field := range Fields(event) {
				fmt.Fprintf(&page, "| `%s` | %s |\n", field.Name, field.Doc)
			}
		}
	}
	return page.String()
}

const pageHead = `# Events in the logs

This page is generated from ` + "`internal/events`" + ` by ` + "`tamarindring events`" + `. A test compares it with the code.

Each process writes one JSON object per line to its standard output. Every line has ` + "`time`" + ` (UTC, in microseconds, by
the machine's own clock), ` + "`level`, `node`, `part`, `seq`" + ` (number of the line since this start of the process) and
` + "`event`" + `. A line with the event ` + "`message`" + ` holds a message in ` + "`text`" + `. Fields that end in ` + "`_ms`" + ` are
milliseconds. An empty field may be absent. Each kind of event has a rate limit; lines above it are dropped, and
` + "`lines_left_out`" + ` reports their number, at most once every five seconds.
`
