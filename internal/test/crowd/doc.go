// Package crowd holds the tests that play callers and upstreams outside the limits against real processes on loopback: heads
// with very many lines or without end, large bodies that never end, and sides that do not read. The tests check that the process
// lives, that its memory and its descriptors stay within what its settings name, and that it answers one ordinary request
// while the crowd is still connected. They check no times and no share of served requests.
package crowd
