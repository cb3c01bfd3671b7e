package main

import (
	"context"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// wall is the real clock; the processes under test run on it too.
var wall = clock.Real()

func now() time.Time { return wall.Now() }

func sleep(d time.Duration) {
	_ = clock.Sleep(context.Background(), wall, d) // fails only if its context ends
}

func after(d time.Duration) <-chan time.Time { return wall.NewTimer(d).C() }

func since(t time.Time) time.Duration { return now().Sub(t) }

func until(t time.Time) time.Duration { return t.Sub(now()) }
