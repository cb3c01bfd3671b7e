// Package soak holds a randomized test of `berylledge gate` as separate processes on loopback. Faults come from outside:
// proxies that delay, reset, hold one way or silence connections, signals that stop, freeze and kill processes, lost and
// damaged folders, upstreams that break, hang and refuse. Callers, an operator and upstreams check the promises meanwhile.
// Some seeds also play evacuations of a data centre, upstreams that turn cold, or a route whose list of regions changes.
//
//	go test ./internal/test/soak                                  # the regression seeds and one short run
//	make soak                                                     # some minutes with fresh seeds
//	go test ./internal/test/soak -run Seeds -soak.first 1000 -soak.seeds 50 -soak.for 10s -soak.beside 3
//
// A seed fixes which faults are drawn and in which order; the moments at which they meet a request differ from run to run.
package soak
