package replica

import (
	"net/http"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// readLoadReport returns the load report in an answer, or nil if there is none that can be read.
func (c *Client) readLoadReport(call *Call, response *http.Response) *loadreport.Report {
	text := c.headerValue(response, c.options.Names.Load)
	if text == "" {
		return nil
	}
	report, err := loadreport.Parse(text)
	if err == nil {
		return &report
	}
	if due, more := c.unreadable.count(c.options.Now()); due {
		logging.Emit(c.options.Log, &events.LoadReportUnreadable{Replica: call.Instance, Text: truncateReport(text), More: more})
	}
	return nil
}

const (
	// unreadableInterval is the minimum time between two log lines on load reports that can't be read. A replica that
	// sends such reports sends one with each answer, and one log line is enough for an operator.
	unreadableInterval = time.Minute
	// shownReportBytes bounds how much of such a report is logged.
	shownReportBytes = 64
)

func truncateReport(text string) string { return text[:min(len(text), shownReportBytes)] }

// unreadableReportLog limits the rate of the log lines on load reports that can't be read.
type unreadableReportLog struct {
	mu         sync.Mutex
	lastLogged time.Time // guarded by mu
	suppressed int       // guarded by mu
}

// count counts a report that can't be read. It reports whether a log line is due and, if so, how many reports were not
// logged since the previous line.
func (u *unreadableReportLog) count(now time.Time) (told bool, more int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.lastLogged.IsZero() && now.Sub(u.lastLogged) < unreadableInterval {
		u.suppressed++
		return false, 0
	}
	more = u.suppressed
	u.lastLogged, u.suppressed = now, 0
	return true, more
}
