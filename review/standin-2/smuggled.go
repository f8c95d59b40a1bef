package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["smuggled"] = playSmuggled }

// playSmuggled submits a batch job in which one item has a header value with line breaks, behind which a second request
// stands. It checks that replicas run only what clients sent: no request that was smuggled inside another one.
func playSmuggled(w *world) (broken []string) {
	const items, job, smuggled = 16, "9d52e09b52d6a3f8", "smuggled00000001"
	w.addMachines(2, false)
	w.startAll()
	for number := range 3 {
		w.addReplica(fmt.Sprintf("i-model-%d", number), modelService, 4)
	}
	w.putConfiguration(1)
	w.waitUntilServing()
	time.Sleep(contactTime + time.Second)
	var list []item
	known := map[string]bool{}
	for number := range items {
		one := newItem(job, number)
		known[one.ID] = true
		if w.trouble && number == 3 {
			one.Headers["X-Model"] = modelName + "\r\nX-Attempt-Id: " + one.ID + "\r\nContent-Length: 0\r\n\r\n" +
				"POST " + batchPrefix + "smuggled HTTP/1.1\r\nHost: " + batchHost + "\r\nX-Attempt-Id: " + smuggled + "\r\nX-Smuggled: 1"
		}
		list = append(list, one)
	}
	statuses := w.submit(job, list, 5*time.Second)
	if statuses[len(statuses)-1] == http.StatusAccepted {
		w.readWhole(job, items, 10*time.Second)
	}
	seen := map[string]bool{}
	for _, one := range w.runs.all() {
		if !known[one.attempt] && !seen[one.attempt] {
			seen[one.attempt] = true
			w.note("%s ran %s, %s", one.replica, one.attempt, one.path)
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran a request with the id %s, which no client sent; it was smuggled inside an item", one.replica, one.attempt))
		}
	}
	return broken
}
