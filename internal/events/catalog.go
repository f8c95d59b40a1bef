package events

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// Area is a part of the catalog.
type Area struct {
	Title  string
	Events []logging.Event // zero values
}

// Catalog returns all kinds of events.
func Catalog() []Area {
	return []Area{
		{"Requests", []logging.Event{&RequestAnswered{}, &RequestFailed{}, &AdmissionRefused{}, &RequestRefused{}, &CallerCut{}, &AttemptFailed{}, &AttemptHedged{}, &RetryRefused{},
			&ReplicaQuarantined{}, &ReplicaRestored{}, &LargeBodyCrash{}, &ShareShort{}, &LoadReportUnreadable{}, &SuspectChanged{}}},
		{"Batch jobs", []logging.Event{&JobSubmitted{}, &JobCallFailed{}, &NearNodeRests{}, &JobEnded{}, &RunnerBegan{}, &RunnerEnded{}, &JobOpened{},
			&JobClosed{}, &BatchTurns{}, &RunStarted{}, &RunEnded{}, &ItemFinished{}, &RewardBegan{}, &RewardTried{}, &RewardEnded{},
			&ResultsCommitted{}, &ReplicaSuspended{}, &ExecutorGreeted{}, &ExecutorLost{}, &RunTakenOver{}, &RunAbandoned{}}},
		{"Samples", []logging.Event{&SampleStarted{}, &SampleInterrupted{}, &SampleGenerated{}}},
		{"Weights", []logging.Event{&VersionReleased{}, &OrderSent{}, &OrderEnded{}, &OrdersTaken{}, &OrdersOffered{}, &OrdersSuperseded{}, &ReplicasSurveyed{}}},
		{"Usage", []logging.Event{&UsageSealed{}, &UsageReported{}, &UsageLate{}}},
		{"Control", []logging.Event{&LeaderChanged{}, &GroupWithoutLeader{}, &GroupLeaderKnown{}, &VotersSilent{}, &GreetingRefused{}, &StreamRefused{},
			&LeadershipYielded{}, &GroupChanged{}, &PeerLost{}, &PeerFound{}, &DiskChanged{}, &SnapshotLeftOut{}, &GroupHoldings{}, &JobsFull{}, &MemberChanged{}, &MemberOutranked{}, &StartRenumbered{}, &StartSuperseded{}, &ControlFound{}, &ControlLost{}, &LeaseLost{},
			&LeaseRegained{}, &TableAdopted{}, &StateUnread{}, &OperatorCall{}, &ReplicaRegistered{}, &ReplicaRestarted{}, &EntrySkipped{}, &ReplicaDeferred{},
			&ReplicasSilent{}, &LevelRaised{}, &LevelKnown{}}},
		{"Processes", []logging.Event{&ProcessStarted{}, &ProcessMemory{}, &ProcessServing{}, &ProcessStopping{}, &ProcessStopped{}, &SettingsReloaded{},
			&logging.LinesLeftOut{}}},
	}
}

// Field is one field of an event's line.
type Field struct {
	Name string // in the line
	Doc  string
}

// Fields returns the fields of an event's line in their order.
func Fields(event logging.Event) []Field {
	described := reflect.TypeOf(event).Elem()
	fields := make([]Field, 0, described.NumField())
	for position := range described.NumField() {
		tag := described.Field(position).Tag
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		fields = append(fields, Field{Name: name, Doc: tag.Get("doc")})
	}
	return fields
}

// Markdown returns the page that lists all events.
func Markdown() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, area := range Catalog() {
		fmt.Fprintf(&page, "\n## %s\n", area.Title)
		for _, event := range area.Events {
			kind := event.Kind()
			fmt.Fprintf(&page, "\n### `%s` (%s, at most %d a second)\n\n| field | what it is |\n| --- | --- |\n", kind.Name, kind.Level, kind.PerSecond)
			for _, field := range Fields(event) {
				fmt.Fprintf(&page, "| `%s` | %s |\n", field.Name, field.Doc)
			}
		}
	}
	return page.String()
}

const pageHead = `# Events in the logs

This page is made from ` + "`internal/events`" + `; a test holds it against the code, and ` + "`tamarindring events`" + ` prints it.

Each process writes one JSON object per line to its standard output. Every line has ` + "`time`" + ` (UTC, microseconds, the
machine's own clock), ` + "`level`, `node`, `part`, `seq`" + ` (number of the line in this start of the process) and ` + "`event`" + `.
A line with the event ` + "`message`" + ` is a sentence in ` + "`text`" + `. Fields in ` + "`_ms`" + ` are milliseconds; an empty field
may be left out. Each kind of event has a rate above which lines are left out; at most once in five seconds
` + "`lines_left_out`" + ` says how many.
`
