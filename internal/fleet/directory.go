package fleet

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// directory is the list of gateway addresses that callers use.
type directory struct {
	mutex     sync.Mutex
	addresses []string
}

func (d *directory) add(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !slices.Contains(d.addresses, address) {
		d.addresses = append(d.addresses, address)
	}
}

func (d *directory) remove(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.addresses = slices.DeleteFunc(slices.Clone(d.addresses), func(known string) bool { return known == address })
}

func (d *directory) list() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.addresses
}

// Event is an action on the fleet, such as a fault, a repair or a planned stop.
type Event struct {
	AtSeconds float64 `json:"at_seconds"`
	What      string  `json:"what"`
}

// eventLog collects events with the time since the start of the run.
type eventLog struct {
	started time.Time
	mutex   sync.Mutex
	events  []Event
}

func (l *eventLog) add(format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, Event{AtSeconds: time.Since(l.started).Seconds(), What: fmt.Sprintf(format, arguments...)})
}

func (l *eventLog) list() []Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.events)
}
