package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly"] = playDeadly }

const (
	// darkTime is how long a replica is dark after a crash.
	darkTime = 4500 * time.Millisecond
	// deadlyPath is the path of the request under which replicas crash.
	deadlyPath = keepPrefix + "deadly"
	// allowedRetries is how many retries may reach replicas later than contactTime after the third crash.
	allowedRetries = 3
)

// darkness has replicas go dark under a request and come back.
type darkness struct {
	w       *world
	mutex   sync.Mutex
	crashes []time.Time
	starts  int
}

// strike has a replica go dark: it says nothing more, on any connection, and no connection is closed. It is back after darkTime,
// at its address, as a new start with a new id.
func (d *darkness) strike(one *replica, attempt string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	one.mutex.Lock()
	already := one.dark != nil
	if !already {
		one.dark = make(chan struct{})
	}
	one.mutex.Unlock()
	if already {
		return
	}
	one.stop()
	d.crashes = append(d.crashes, time.Now())
	d.starts++
	number := d.starts
	d.w.note("%s goes dark under %s (crash %d)", one.id, attempt, len(d.crashes))
	time.AfterFunc(darkTime, func() {
		one.close()
		listener, err := net.Listen("tcp", one.listener.Addr().String())
		if err != nil {
			d.w.note("a replica could not start again: %v", err)
			return
		}
		next := d.w.startReplica(fmt.Sprintf("i-next-%d", number), one.service, cap(one.slots), one.zone, listener)
		d.arm(next)
		d.w.note("%s is back at the address of %s", next.id, one.id)
	})
}

// arm has a replica go dark when it begins to run the deadly request.
func (d *darkness) arm(one *replica) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.answerBy = func(_ http.ResponseWriter, request *http.Request, _ []byte) bool {
		if !d.w.trouble || !strings.HasPrefix(request.URL.Path, deadlyPath) {
			return false
		}
		d.strike(one, request.Header.Get("X-Attempt-Id"))
		<-one.dark
		return true
	}
}

// playDeadly has a request come again and again under which each replica that runs it crashes and is dark for a while. It
// checks how many retries reach replicas later than contactTime after the third crash.
func playDeadly(w *world) (broken []string) {
	w.addMachines(3, false)
	w.startAll()
	struck := &darkness{w: w}
	for number := range 8 {
		struck.arm(w.addReplica(fmt.Sprintf("i-app-%d", number), appService, 6))
	}
	w.putConfiguration(1)
	w.waitUntilServing()
	time.Sleep(contactTime + time.Second)
	type retry struct {
		attempt string
		sent    time.Time
	}
	var retries []retry
	answered := map[int]int{}
	for until, number := time.Now().Add(60*time.Second), 0; time.Now().Before(until); number++ {
		gateway := w.gateways[number%len(w.gateways)]
		attempt := fmt.Sprintf("deadly-%03d", number)
		retries = append(retries, retry{attempt, time.Now()})
		// The client waits 1.5 s, connecting included, and then closes its connection.
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		got := call(ctx, http.MethodPost, "http://"+gateway.address(frontPort)+deadlyPath, appHost, map[string]string{"X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"}, []byte(`{"same":"body"}`))
		cancel()
		answered[got.status]++
		w.note("%s is sent to %s: %d; it reached %d replicas", attempt, gateway.name, got.status, len(w.runs.of(attempt)))
		time.Sleep(500 * time.Millisecond)
	}
	struck.mutex.Lock()
	crashes := append([]time.Time(nil), struck.crashes...)
	struck.mutex.Unlock()
	w.note("%d tries by status: %v; %d crashes", len(retries), answered, len(crashes))
	if len(crashes) < 3 {
		return nil
	}
	late := 0
	for _, one := range retries {
		if one.sent.After(crashes[2].Add(contactTime)) && len(w.runs.of(one.attempt)) > 0 {
			late++
		}
	}
	w.note("%d retries reached replicas that were sent later than %v after the third crash; %d may", late, contactTime, allowedRetries)
	if late > allowedRetries {
		broken = append(broken, fmt.Sprintf("BUDGET: a request that crashes replicas reached them in %d retries sent later than contact_ms after the third crash", late))
	}
	return broken
}
