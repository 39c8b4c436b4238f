#!/bin/sh
# Plays this case. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 plays it without the disruption. What was sent, answered and run goes into record.txt.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/build-review-2/case-$(basename "$here")"
if [ ! -x "$program" ] || [ ! -x "$root/build/marblewood" ]; then
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
fi
timeout -k 2 115 "$program" "$root" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
