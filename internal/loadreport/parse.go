package loadreport

import (
	"errors"
	"strconv"
	"strings"
)

// ErrUnreadable is returned by Parse for a text that is not a valid report.
var ErrUnreadable = errors.New("loadreport: the text is not running,waiting,slots with an optional pace in percent")

// Positions of the fields in the text of a report.
const (
	fieldRunning = iota
	fieldWaiting
	fieldSlots
	fieldPace // in percent; optional
	maxFields
)

const (
	// maxTextBytes bounds the length of the text. Four fields take a fraction of it.
	maxTextBytes = 256
	percent      = 100.0
)

// Parse parses "running,waiting,slots" or "running,waiting,slots,pace", with the pace in percent of the usual time.
// Further fields are ignored, so that future replicas can report more. If one of the known fields is invalid, the
// whole text is rejected with ErrUnreadable, because the meaning of the others is then uncertain.
func Parse(text string) (Report, error) {
	if len(text) > maxTextBytes {
		return Report{}, ErrUnreadable
	}
	var numbers [maxFields]int
	rest, parsed, more := text, 0, true
	for more && parsed < maxFields {
		var field string
		field, rest, more = strings.Cut(rest, ",")
		number, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || number < 0 {
			return Report{}, ErrUnreadable
		}
		numbers[parsed] = number
		parsed++
	}
	if parsed < fieldPace {
		return Report{}, ErrUnreadable
	}
	return Report{Running: numbers[fieldRunning], Waiting: numbers[fieldWaiting], Slots: numbers[fieldSlots],
		Pace: float64(numbers[fieldPace]) / percent}, nil
}
