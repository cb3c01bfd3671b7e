#!/usr/bin/env bash
# Checks the models of the core protocol with Spin. A model must hold; a mutant, which has one deliberate fault, must break
# the promise that is named with it. Prints states, depth and verdict of each run; exits with 1 if one differs.
# `scripts/spec.sh lease` runs the models and mutants whose name begins with lease.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
	apt-get install -y spin gcc >/dev/null
fi

members='-DMEMBERS -DN=4 -DWIPES=0 -DCRASHES=0'
# name | model | macros | text of the assertion that must fail, or "holds"
runs="
consensus-commit-old-term | consensus | -DMAXT=4 -DM_COMMIT_OLD_TERM | done_term
consensus-members-early | consensus | $members -DM_CHANGE_BEFORE_OWN_COMMIT | leader_of
consensus-terms | consensus | -DMAXT=4 | holds
consensus-log | consensus | -DMAXL=3 | holds
consensus-members | consensus | $members | holds
consensus-members-log | consensus | $members -DMAXT=2 -DMAXL=3 | holds
consensus-members-wiped | consensus | -DMEMBERS -DN=4 -DMAXT=2 | holds
consensus-members-replaced | consensus | -DMEMBERS -DN=4 -DMAXT=2 -DMAXL=3 -DINITIAL=7 | holds
consensus-two-changes | consensus | $members -DM_TWO_CHANGES | done.e
consensus-vote-not-synced | consensus | -DM_VOTE_NOT_SYNCED | leader_of
consensus-wiped-votes | consensus | -DM_WIPED_VOTES | leader_of
consensus-old-log-wins | consensus | -DM_OLD_LOG_WINS | done_term
consensus-late-append | consensus | -DM_LATE_APPEND_TRUNCATES | done
forming | forming | | holds
forming-twice-lost | forming | -DWIPES=2 | holds
forming-majority | forming | -DM_FIRST_LEADER_BY_MAJORITY | led==group
forming-without-all | forming | -DM_FORM_WITHOUT_ALL | led==group
repair | repair | | holds
repair-seven | repair | -DWANTED=7 -DMOST=8 | holds
repair-pair-with-silent | repair | -DM_PAIR_WITH_SILENT | 2*live
repair-vote-at-once | repair | -DM_VOTE_AT_ONCE | 2*live
repair-heard-none | repair | -DM_NEW_LEADER_HEARD_NONE | 2*live
version | version | | holds
version-last-wins | version | -DM_LAST_WINS | first_content
version-equal-replaces | version | -DM_EQUAL_REPLACES | first_content
version-entry-takes-any | version | -DM_ENTRY_TAKES_ANY | version[i]>=in_force
version-read-without-index | version | -DM_READ_WITHOUT_INDEX | version[i]>=acknowledged
ledger | ledger | | holds
ledger-no-horizon | ledger | -DM_NO_HORIZON | runs<=1
ledger-regrant-unknown | ledger | -DM_REGRANT_UNKNOWN | runs<=1
ledger-settle-by-any | ledger | -DM_SETTLE_BY_ANY | runs<=1
ledger-dispatch-twice | ledger | -DM_DISPATCH_TWICE | runs<=1
ledger-discard-keeps-token | ledger | -DM_DISCARD_KEEPS_TOKEN | told_not_run
ledger-not-run-after-timeout | ledger | -DM_NOT_RUN_AFTER_TIMEOUT | told_not_run
ledger-restart-reuses-token | ledger | -DM_RESTART_REUSES_TOKEN | told_not_run
ledger-no-tombstone | ledger | -DM_NO_TOMBSTONE | abandoned
ledger-tombstone-early | ledger | -DM_TOMBSTONE_EARLY | abandoned
lease | lease | | holds
lease-checks-fence | lease | -DCHECKS -DHORIZON=5 | holds
lease-no-fence | lease | -DCHECKS -DHORIZON=5 -DM_NO_FENCE | flying_fence
lease-no-drift | lease | -DM_NO_DRIFT | busy_until
lease-no-order-time | lease | -DM_NO_ORDER_TIME | busy_until
lease-no-wait | lease | -DM_NO_WAIT | busy_until
lease-chain-forgets | lease | -DM_CHAIN_FORGETS | busy_until
lease-renew-lost | lease | -DM_RENEW_LOST | busy_until
lease-no-clock-check | lease | -DM_NO_CLOCK_CHECK | busy_until
"

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export out root=$PWD

check() { # name|model|macros|expected
	IFS='|' read -r name model macros expected <<<"$1"
	name=${name// /} model=${model// /} expected=${expected// /}
	dir=$out/$name.d
	mkdir "$dir" && cd "$dir"
	# shellcheck disable=SC2086 # macros are several words
	if ! spin -a $macros "$root/spec/$model.pml" >spin.log 2>&1 ||
		! gcc -O2 -w -DSAFETY -DNOCLAIM -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c >>spin.log 2>&1; then
		cat spin.log
		echo "$name: the model does not compile" >"$out/$name.bad"
		return
	fi
	timeout 110 ./pan -m1000000 >pan.log 2>&1 || true
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
	failed=$(sed -n 's/^pan:1: assertion violated *//p' pan.log)
	verdict=unexpected
	if [[ $expected == holds ]]; then
		if [[ $errors == 0 ]] && ! grep -qE 'max search depth too small|Search not completed|out of memory' pan.log; then
			verdict=holds
		fi
	elif [[ $errors == 1 && $failed == *"$expected"* ]]; then
		verdict="fails as it must: $failed"
	fi
	printf '%-30s %9s states  depth %3s  %5ss  %s\n' "$name" \
		"$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' pan.log)" \
		"$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' pan.log)" \
		"$(sed -n 's/.*elapsed time \([0-9.]*\) seconds.*/\1/p' pan.log)" "${verdict:0:110}"
	if [[ $verdict == unexpected ]]; then
		tail -n 20 pan.log
		echo "$name: expected $expected" >"$out/$name.bad"
	fi
}
export -f check

grep '|' <<<"$runs" | grep "^${1:-}" | tr '\n' '\0' | xargs -0 -n1 -P4 bash -c 'check "$0"'
if compgen -G "$out/*.bad" >/dev/null; then
	cat "$out"/*.bad
	exit 1
fi
echo "all models hold and all mutants fail"
