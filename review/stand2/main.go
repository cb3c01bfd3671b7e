// Command stand2 plays the cases of the second independent review: it starts processes of berylledge gate with the platform's dialect
// on loopback addresses, and stand-ins for the operator, the runners and the clients.
//
// Usage:
//
//	stand2 -case NAME -record FILE [-trouble=false]
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 110 * time.Second

// scene is what a case works with.
type scene struct {
	clock   clock.Clock
	rec     *recorder
	fleet   *fleet
	trouble bool
}

// cases are the programs of the review, by name. Each reports whether the rule was broken.
var cases = map[string]func(*scene) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitFailed
	}
	s := &scene{clock: clock.Real(), trouble: *trouble}
	var err error
	if s.rec, err = newRecorder(*file, s.clock); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.rec.close()
	if s.fleet, err = newFleet(s.clock, s.rec); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.fleet.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	type verdict struct {
		broken bool
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := play(s)
		done <- verdict{broken, err}
	}()
	limit := s.clock.NewTimer(caseLimit)
	defer limit.Stop()
	select {
	case v := <-done:
		switch {
		case v.err != nil:
			s.rec.note("the case could not run: %v", v.err)
			return exitFailed
		case v.broken:
			s.rec.note("the rule was broken")
			return exitBroken
		}
		s.rec.note("the rule held")
		return exitHeld
	case <-limit.C():
		s.rec.note("the case did not end in time")
	case sig := <-signals:
		s.rec.note("stopped by %v", sig)
	}
	return exitFailed
}
