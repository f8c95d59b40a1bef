package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case "stop": an edge machine is stopped by SIGTERM while it serves requests that end before the last sixth of
// grace_s. Rule LOST.

const (
	appService = "app"
	appHost    = "shop.example"
	appSlots   = 6
	apps       = 3
	// stopAfter is how long after the requests the machine is stopped.
	stopAfter = 200 * time.Millisecond
	// lastSixth is when the last sixth of grace_s begins, after the SIGTERM.
	lastSixth = graceSeconds * time.Second * 5 / 6
	// firstEnd and endStep tell when the replicas are done with the requests of each kind, after the SIGTERM: at 6.00,
	// 6.15, 6.30, 6.45 and 6.60 s, all before the last sixth.
	firstEnd = 6000 * time.Millisecond
	endStep  = 150 * time.Millisecond
	perKind  = 5
	// laterAfter is how long after the SIGTERM further requests are sent, on connections that were open before it. Their
	// replicas are done at laterEnd and each laterStep after it: at 6.8, 7.0 and 7.2 s.
	laterAfter = 3200 * time.Millisecond
	laterEnd   = 6800 * time.Millisecond
	laterStep  = 200 * time.Millisecond
	laterKind  = 3
	// excusedUntil is how long after the SIGTERM a request may be sent for the excuse of the last sixth.
	excusedUntil = 3 * time.Second
)

// appConfiguration is a configuration with one route of each kind for the application service.
func appConfiguration(version int) map[string]any {
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "host": appHost, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 10000,
			"target_latency_ms": 400, "priority": 1, "service": appService, "max_attempts": 2}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("idempotent", "idempotent"), route("once", "non_idempotent"), route("stream", "stream")},
		"services": []any{map[string]any{"name": appService, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   limits(),
	}
}

func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

func runStopCase(w *world, trouble bool) (broken bool, err error) {
	if err = w.startAll(); err != nil {
		return false, err
	}
	if err = w.operate("/-/config/put", appConfiguration(1)); err != nil {
		return false, err
	}
	replicas, err := w.startReplicas(appService, apps, appSlots, 0, false)
	if err != nil {
		return false, err
	}
	if err = w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than contact_ms
	stopped := w.gateway[0]
	for number := range 6 {
		if first := w.send(context.Background(), stopped, appHost, "/once/warm", "non_idempotent", fmt.Sprintf("warm-%d", number), work{TakeMS: 20}); first.Status != 200 {
			return false, fmt.Errorf("a request before the trouble got status %d: %s", first.Status, first.Err)
		}
	}

	var results []*sent
	var mutex sync.Mutex
	var clients sync.WaitGroup
	ask := func(client *http.Client, kind, attempt string, take time.Duration) {
		asked := work{TakeMS: int(take.Milliseconds())}
		if kind == "stream" {
			asked.Events = 40
		}
		clients.Go(func() {
			result := w.sendOn(context.Background(), client, stopped, appHost, "/"+kind+"/a", kind, attempt, asked)
			mutex.Lock()
			defer mutex.Unlock()
			results = append(results, result)
		})
	}
	var kept []*http.Client // with an open connection each
	for number := range 2 * laterKind {
		client := keptConnection()
		opened := w.sendOn(context.Background(), client, stopped, appHost, "/once/open", "non_idempotent", fmt.Sprintf("open-%d", number), work{TakeMS: 20})
		if opened.Status != 200 {
			return false, fmt.Errorf("a request before the trouble got status %d: %s", opened.Status, opened.Err)
		}
		kept = append(kept, client)
	}
	for number := range perKind {
		for _, kind := range []string{"once", "stream"} {
			ask(newHTTPClient(0), kind, fmt.Sprintf("%s-%d", kind, number), stopAfter+firstEnd+time.Duration(number)*endStep)
		}
	}
	time.Sleep(stopAfter)
	stoppedAt := time.Now()
	var stopping sync.WaitGroup
	if trouble {
		stopping.Go(stopped.stop)
	}
	time.Sleep(laterAfter)
	for number, client := range kept {
		kind := []string{"once", "stream"}[number%2]
		ask(client, kind, fmt.Sprintf("later-%s-%d", kind, number/2), laterEnd-laterAfter+time.Duration(number/2)*laterStep)
	}
	clients.Wait()
	stopping.Wait()
	time.Sleep(500 * time.Millisecond)

	runs := map[string][]run{}
	for _, one := range replicas {
		for _, made := range one.allRuns() {
			runs[made.Attempt] = append(runs[made.Attempt], made)
		}
	}
	for _, result := range results {
		made := runs[result.Attempt]
		if len(made) == 0 {
			w.record.write("not passed on", "attempt", result.Attempt, "status", result.Status, "error", result.Err)
			continue
		}
		last := made[len(made)-1]
		// Excuse of the rule: the request was sent no later than 3 s after the SIGTERM, and the replica was still at work
		// in the last sixth of grace_s.
		excused := result.Began.Before(stoppedAt.Add(excusedUntil)) && last.Ended.After(stoppedAt.Add(lastSixth))
		lost := !result.Complete && !excused
		w.record.write("judged", "attempt", result.Attempt, "complete", result.Complete, "sent_after_sigterm_ms", result.Began.Sub(stoppedAt).Milliseconds(), "ended_after_sigterm_ms", result.Ended.Sub(stoppedAt).Milliseconds(),
			"replica_ended_after_sigterm_ms", last.Ended.Sub(stoppedAt).Milliseconds(), "last_sixth_begins_ms", lastSixth.Milliseconds(), "lost", lost)
		broken = broken || lost
	}
	return broken, nil
}
