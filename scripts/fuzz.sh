#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of inputs: scripts/fuzz.sh [inputs per target].
set -euo pipefail
cd "$(dirname "$0")/.."
count="${1:-2000}"
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
grep -rlE '^func Fuzz' --include='*_test.go' internal pkg | xargs -n1 dirname | sort -u | while read -r dir; do
  for target in $(grep -rhoE '^func Fuzz[A-Za-z0-9_]*' "$dir"/*_test.go | sed 's/func //'); do
    echo "$dir $target"
    go test "./$dir" -run '^$' -fuzz "^$target\$" -fuzztime "${count}x" > "$log" 2>&1 || { cat "$log"; exit 1; }
    tail -n 1 "$log"
  done
done
