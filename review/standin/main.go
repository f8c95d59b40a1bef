// Command standin runs the cases of an independent review: it starts the processes of the deploy file on loopback
// addresses, with stand-ins for the replicas, clients, operator and trainer around them, and checks one rule.
//
// Usage: standin CASE RECORD. With TROUBLE=0 the disruption is left out. Exit status 1: the rule was broken; 0: it
// held; 2: the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestCase is when a case is given up, so that it ends within 120 s.
const longestCase = 110 * time.Second

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"spoil":    runSpoilCase,
	"stop":     runStopCase,
	"unsigned": runUnsignedCase,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longestCase):
			record.write("not run", "because", "it took too long")
		}
		w.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.write("case", "name", os.Args[1], "trouble", trouble)
	broken, err := cases[os.Args[1]](w, trouble)
	switch {
	case err != nil:
		record.write("not run", "because", err.Error())
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		record.write("verdict", "rule", "broken")
		return exitBroken
	}
	record.write("verdict", "rule", "held")
	return exitHeld
}
