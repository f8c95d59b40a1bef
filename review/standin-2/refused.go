package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

// greyShare is the part of its requests that the grey replica fails.
const greyShare = 0.4

// grey fails a part of the requests that it runs: it works on them and then answers with status 503. It does not say that it
// did not run them, since it did.
type grey struct {
	mutex         sync.Mutex
	seen, failing int
}

// fails reports whether the next request fails: two of five do.
func (g *grey) fails() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.seen++
	if float64(g.failing+1) <= greyShare*float64(g.seen) {
		g.failing++
		return true
	}
	return false
}

// playRefused has one of seven replicas fail two fifths of its requests for 20 s while its health check is good. It checks
// that no request that can't be repeated gets 429, 503, 408 or 421 as its answer although a replica ran it.
func playRefused(w *world) (broken []string) {
	w.addMachines(2, false)
	w.startAll()
	for number := range 7 {
		w.addReplica(fmt.Sprintf("i-app-%d", number), appService, 6)
	}
	w.putConfiguration(1)
	w.waitUntilServing()
	time.Sleep(contactTime + time.Second)
	failing := &grey{}
	one := w.replicas[0]
	one.mutex.Lock()
	one.answerBy = func(writer http.ResponseWriter, request *http.Request, _ []byte) bool {
		if !w.trouble || !failing.fails() {
			return false
		}
		time.Sleep(one.work)
		w.note("%s has run %s and answers 503 to it, without X-Not-Executed", one.id, request.Header.Get("X-Attempt-Id"))
		writer.Header().Set("Content-Length", "0")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	one.mutex.Unlock()
	w.note("%s begins to fail %.0f%% of its requests", one.id, 100*greyShare)
	twice := 0
	answered := map[int]int{}
	for until, number := time.Now().Add(20*time.Second), 0; time.Now().Before(until); number++ {
		ran, refused := 0, 0
		// A client repeats a request that can't be repeated only after a promise that it did not run, under a new id.
		for try := range 2 {
			attempt := fmt.Sprintf("push-%04d-%d", number, try)
			gateway := w.gateways[(number+try)%len(w.gateways)]
			header := map[string]string{"X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"}
			got := ask(1500*time.Millisecond, http.MethodPost, "http://"+gateway.address(frontPort)+oncePrefix+"deliver", appHost, header, []byte(`{"push":1}`))
			answered[got.status]++
			runs := len(w.runs.of(attempt))
			ran += runs
			promised := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests || got.status == http.StatusRequestTimeout ||
				got.status == http.StatusMisdirectedRequest
			if promised && runs > 0 {
				refused++
				w.note("%s got %d from %s, yet it ran at %s", attempt, got.status, gateway.name, w.runs.of(attempt)[0].replica)
				broken = append(broken, fmt.Sprintf("REFUSED: %s can't be repeated and got %d as its answer, yet it has run", attempt, got.status))
			}
			if !promised {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if ran > 1 && refused > 0 {
			twice++
		}
		time.Sleep(40 * time.Millisecond)
	}
	w.note("answers by status: %v; %d deliveries ran twice, since their clients believed the promise", answered, twice)
	return broken
}
