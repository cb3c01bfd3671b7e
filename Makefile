# One target for each task of a maintainer. `make help` lists them.
SHELL := /bin/bash
GO ?= go
export CGO_ENABLED := 1
PKGS := ./...

.PHONY: help build test check fmt lint race fuzz chaos docs demo spec bench capacity clean

help: ## list the targets
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

build: ## build bin/berylledge
	$(GO) build -o bin/berylledge ./cmd/berylledge

test: ## install what the tests need, run formatter, linter and all tests
	bash scripts/test.sh

check: fmt lint ## formatter and linter only

fmt: ## fail when a file is not formatted
	@out=$$($(GO) tool gofumpt -l cmd internal pkg examples); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint: ## run the linter
	$(GO) tool golangci-lint run --allow-parallel-runners $(PKGS)

spec: ## check the models of the core protocol and their mutants with Spin
	bash scripts/spec.sh

demo: build ## run a whole pipeline on loopback: three nodes and a set of stand-in upstreams in one process
	./bin/berylledge demo

chaos: ## kill control nodes for ten minutes under change and claim load
	BERYLLEDGE_CHAOS=10m $(GO) test -count=1 -timeout 20m -v -run ControlNodesKilled ./internal/test/procs

soak: ## play faults of fifty fresh seeds against processes of `berylledge gate` (about 12 min)
	$(GO) test -count=1 -timeout 20m -v -run Seeds ./internal/test/soak -args -soak.first 0 -soak.seeds 50 -soak.for 10s -soak.beside 4

race: ## run all tests with the race detector
	$(GO) test -race -count=1 $(PKGS)

fuzz: ## run each fuzz target for many inputs
	bash scripts/fuzz.sh 100000

docs: build ## write the generated pages
	./bin/berylledge docs events > docs/events.md
	./bin/berylledge docs metrics > docs/metrics.md
	./bin/berylledge docs gate-metrics > docs/gate_metrics.md
	./bin/berylledge docs schema > docs/config.schema.json
	./bin/berylledge docs config > docs/config.md
	./bin/berylledge docs settings > docs/settings.md

capacity: ## measure the cost per node and rewrite the tables of docs/CAPACITY.md (about 2 min)
	$(GO) run ./cmd/capacity --write docs/CAPACITY.md

bench: ## measure admission control in the harness and on its own; writes out/bench
	BENCH_DIR=$(CURDIR)/out/bench $(GO) test ./internal/test/bench -run 'TestReport|TestDefaultLimiter' -v -count=1
	$(GO) test ./internal/flow/admit -run '^$$' -bench . -benchtime 200000x -count=3

clean: ## remove build results
	rm -rf bin out
