// Command stand runs one case of the review: it starts the project's processes and the stand-ins around them, plays the disruption
// and judges the rule by what clients and servers have seen.
//
//	stand CASE RECORD
//
// RECORD is the file that gets a line for what was sent, answered and run. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(*record, bool){
	"late-answer":   lateAnswer,
	"blank-line":    blankLine,
	"cut-off":       cutOff,
	"lost-leave":    lostLeave,
	"poison-reset":  poisonReset,
	"poison-silent": poisonSilent,
}

// longest bounds a case.
const longest = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(play func(*record, bool), path string, trouble bool) (code int) {
	rec := newRecord(path)
	defer func() {
		if cause := recover(); cause != nil {
			e, ok := cause.(errCannotRun)
			if !ok {
				panic(cause)
			}
			rec.say("the case could not run: %v", e)
			fmt.Println("could not run:", e)
			code = 2
		}
	}()
	wall.AfterFunc(longest, func() {
		fmt.Println("could not run: it takes too long")
		os.Exit(2) // the processes end with this one
	})
	rec.say("disruption: %v", trouble)
	play(rec, trouble)
	if n := rec.brokenCount(); n > 0 {
		rec.say("the rule was broken %d times", n)
		fmt.Printf("broken %d times; the first: %s\n", n, rec.bad[0])
		return 1
	}
	rec.say("the rule held")
	fmt.Println("held")
	return 0
}
