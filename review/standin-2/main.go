// Command standin-2 plays the cases of the second review: it starts the project's own programs as separate processes on
// loopback addresses, with stand-ins for replicas, callers, the operator and a trainer, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// longestRun ends a case that does not end by itself.
const longestRun = 115 * time.Second

// cases holds the cases by name.
var cases = map[string]func(w *world) (broken []string){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitCannotRun)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	os.Exit(playCase(w, play))
}

// playCase plays a case and ends all processes that it started, also when it panics or takes too long.
func playCase(w *world, play func(w *world) []string) (code int) {
	defer w.close()
	result := make(chan int, 1)
	go func() {
		defer func() {
			if fault := recover(); fault != nil {
				w.note("the case could not run: %v", fault)
				result <- exitCannotRun
			}
		}()
		broken := play(w)
		for _, one := range broken {
			w.note("BROKEN: %s", one)
		}
		if len(broken) > 0 {
			result <- exitBroken
			return
		}
		w.note("the rule held")
		result <- exitHeld
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case code = <-result:
	case what := <-ended:
		w.note("the case could not run: it got %v", what)
		code = exitCannotRun
	case <-time.After(longestRun):
		w.note("the case could not run: it took too long")
		code = exitCannotRun
	}
	return code
}
