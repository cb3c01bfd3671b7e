// Package crowd holds the tests that play callers and upstreams outside the limits against real processes on loopback: heads
// with very many lines or without end, bodies that never end, idle connections, thousands of pieces, and sides that do not read, one by one
// and at once. The tests check that the process lives, that its memory and its descriptors stay within what it is told, and that it answers
// one ordinary request while the crowd is still connected; that requests which were refused have not run; and that heads inside the limits
// are served in calm. They check no times and no share of served requests.
package crowd
