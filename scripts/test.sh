#!/usr/bin/env bash
# Runs formatter, linter, all tests, the fuzz targets for a fixed number of inputs, and the model checker. Tests that
# KNOWN-RED.txt names are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1
make --no-print-directory fmt
make --no-print-directory lint
go build -o bin/berylledge ./cmd/berylledge
skip=()
if grep -q '^Test' KNOWN-RED.txt; then
  echo "passed over, see KNOWN-RED.txt:"
  grep '^Test' KNOWN-RED.txt
  # Each level of a test's name is matched as a whole.
  skip=(-skip "$(grep -oE '^Test[^ ]+' KNOWN-RED.txt | sed -E 's#([^/]+)#^\1$#g' | paste -sd'|')")
fi
bash scripts/fuzz.sh 500
bash scripts/spec.sh
# The tests of internal/test/crowd measure the memory of processes, one at a time and beside no other load.
mapfile -t packages < <(go list ./... | grep -v '/internal/test/crowd$')
go tool gotestsum --format pkgname -- -count=1 -p 6 "${skip[@]}" "${packages[@]}"
go tool gotestsum --format pkgname -- -count=1 -p 1 "${skip[@]}" ./internal/test/crowd
