#!/usr/bin/env bash
# Writes variants of a site file, to hunt on deployments that are not the users' own:
#   deploy/variants.sh SITE FOLDER
#   for f in FOLDER/*.toml; do fleetbench hunt "$f" --days 10; done
# One variant changes one thing. A site file that lacks the field gives a variant that equals it.
set -euo pipefail
site="$1" out="$2"
mkdir -p "$out"
cp "$(dirname "$site")/wire.json" "$out/"

# variant NAME SED-EXPRESSION writes one variant.
variant() { sed -E "$2" "$site" > "$out/$(basename "$site" .toml)-$1.toml"; }

variant narrow_link 's/^region_mbps = .*/region_mbps = 10.0/'
variant far_regions 's/^cross_region_ms = .*/cross_region_ms = 40.0/'
variant slow_disks 's/sync_ms = [0-9.]+/sync_ms = 25/'
variant one_region 's/region = "[^"]*"/region = "all"/'
variant lone_control '/class = "core"/s/count = [0-9]+/count = 1/'
variant few_entries '/class = "front"/s/count = [0-9]+/count = 2/'
