package admission

import "time"

// Reason says why a request was refused.
type Reason uint8

// Reasons for refusing a request.
const (
	QueueFull   Reason = iota + 1 // Limits.QueueLimit requests wait already
	WaitTooLong                   // no slot is expected before the request must start
	Displaced                     // evicted for a more urgent request, or for one of a tenant that has less waiting
	TimedOut                      // the request waited for the maximum time
	NoSlots                       // the limits allow no request of this kind at all
)

var reasonTexts = [...]string{QueueFull: "the queue is full", WaitTooLong: "the wait for a slot would be too long",
	Displaced: "another request took its place in the queue", TimedOut: "no slot became free in time", NoSlots: "the table leaves no room for this class"}

var reasonNames = [...]string{QueueFull: "queue_full", WaitTooLong: "wait_too_long", Displaced: "displaced", TimedOut: "timed_out",
	NoSlots: "no_slots"}

// Name returns the identifier of the reason in logs and metrics.
func (r Reason) Name() string {
	if int(r) < len(reasonNames) && r > 0 {
		return reasonNames[r]
	}
	return "unknown"
}

// String returns a description of the reason for people.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) && r > 0 {
		return reasonTexts[r]
	}
	return "unknown reason"
}

// Refusal reports that a request is not admitted.
type Refusal struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration // delay from now before a retry is useful
	Figures    Figures
}

// Figures holds the values that a refusal was based on.
type Figures struct {
	Slots, InFlight, Waiting int
	Reach                    int           // number of slots that the wait estimate is based on
	Ahead                    float64       // waiting requests that are expected to be granted before
	Service                  time.Duration // mean time that a request holds its slot; 0 if too few requests have ended
	ExpectedWait             time.Duration
	Allowed                  time.Duration // remaining time that the request was allowed to wait
}
