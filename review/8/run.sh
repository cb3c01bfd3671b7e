#!/bin/sh
# Runs the case; see claim.txt. It writes what was sent, answered and run to record.txt in this folder. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/berylledge ] && [ -x review/bin/stand2 ] || exit 2
exec review/bin/stand2 -case cold -record review/8/record.txt -trouble="$([ "$TROUBLE" = 0 ] && echo false || echo true)"
