// Package soak holds a randomized test of `berylledge gate` as separate processes on loopback. Faults come from outside:
// proxies that delay, reset, hold one way or silence connections, signals that stop, freeze and kill processes, lost and
// damaged folders, upstreams that break, hang and refuse. Callers, an operator and upstreams check the promises meanwhile.
//
//	go test ./internal/test/soak                                        # the regression seeds and a short new run
//	go test ./internal/test/soak -run Fresh -soak.seeds 50 -soak.first 1000 -soak.for 10s -soak.beside 3
package soak
