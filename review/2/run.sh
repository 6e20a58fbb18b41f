#!/usr/bin/env bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in bin/review-stage target/dragonfly-entry target/dragonfly-agent; do
	[ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
TROUBLE=${TROUBLE:-1} exec bin/review-stage repetitions review/2/record.txt
