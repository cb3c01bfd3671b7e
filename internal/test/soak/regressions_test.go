package soak

import "time"

// regression is a seed that failed before. Its line ends with the cause.
type regression struct {
	seed   uint64
	length time.Duration
}

var regressions = []regression{
	{5021, 10 * time.Second}, // an upstream turned cold while only a control node heard it whose records reached no entry node
}
