package replica

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/loadreport"
)

// newReportingReplica returns a replica that sends these load reports one after the other, with answers or with refusals.
func newReportingReplica(t *testing.T, refusing bool, reports ...string) *standinReplica {
	return newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, serial int) bool {
		head := "Load: " + reports[min(serial, len(reports)-1)] + "\r\nContent-Length: 0\r\n"
		if refusing {
			head += "Not-Run: 1\r\n"
		}
		write(conn, answerWith(request, head+"\r\n"))
		return true
	})
}

// TestReportsComeWithAnswersAndRefusals checks that load reports are read from answers and from refusals, and that an
// answer's report is passed to the sink with the head.
func TestReportsComeWithAnswersAndRefusals(t *testing.T) {
	want := loadreport.Report{Running: 3, Waiting: 1, Slots: 8, Pace: 2.5}
	now := time.Unix(100, 0)
	for _, refusing := range []bool{false, true} {
		s := newReportingReplica(t, refusing, "3,1,8,250")
		outcome, sink := do(newTestClient(t, Options{Now: func() time.Time { return now }}), s.call("one"))
		if outcome.Load == nil || *outcome.Load != want || !outcome.Answered.Equal(now) {
			t.Errorf("refusing %v: got report %+v at %v, want the one that was sent", refusing, outcome.Load, outcome.Answered)
		}
		if !refusing && (sink.head.Load == nil || *sink.head.Load != want) {
			t.Errorf("got report %+v with the head, want the one that was sent", sink.head.Load)
		}
	}
}

// TestUnreadableReportsAreLoggedOnce checks that an answer with a load report that can't be read is delivered as usual,
// and that such reports cause at most one log line per minute.
func TestUnreadableReportsAreLoggedOnce(t *testing.T) {
	long := strings.Repeat("x", 2*shownReportBytes)
	s := newReportingReplica(t, false, long)
	now := time.Unix(100, 0)
	log, lines := logrustest.NewNullLogger()
	client := newTestClient(t, Options{Now: func() time.Time { return now }, Log: logrus.NewEntry(log)})
	for range 3 {
		if outcome, _ := do(client, s.call("one")); outcome.Load != nil || !outcome.Complete {
			t.Fatalf("got outcome %+v, want the whole answer without a load report", outcome)
		}
	}
	if len(lines.Entries) != 1 || lines.LastEntry().Level != logrus.WarnLevel {
		t.Fatalf("got %d log lines, want 1 warning", len(lines.Entries))
	}
	now = now.Add(unreadableInterval)
	do(client, s.call("one"))
	if len(lines.Entries) != 2 {
		t.Fatalf("got %d log lines after a minute, want 2", len(lines.Entries))
	}
	logged := &events.LoadReportUnreadable{}
	for _, value := range lines.LastEntry().Data {
		if event, ok := value.(*events.LoadReportUnreadable); ok {
			logged = event
		}
	}
	if logged.More != 2 || len(logged.Text) != shownReportBytes {
		t.Errorf("got event %+v, want 2 reports that were not logged and a truncated text", logged)
	}
}
