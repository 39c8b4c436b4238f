#!/bin/sh
# Plays case N five times with the disruption and once without it: review/common-2/five.sh N
here=$(cd "$(dirname "$0")/.." && pwd)
for run in 1 2 3 4 5; do
    "$here/$1/run.sh"
    echo "run $run: exit code $?; $(tail -n 1 "$here/$1/record.txt")"
done
TROUBLE=0 "$here/$1/run.sh"
echo "TROUBLE=0: exit code $?; $(tail -n 1 "$here/$1/record.txt")"
