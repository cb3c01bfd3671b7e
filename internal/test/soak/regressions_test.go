package soak

import "time"

// regression is a seed that failed before.
type regression struct {
	seed   uint64
	length time.Duration
	cause  string
}

var regressions = []regression{}
