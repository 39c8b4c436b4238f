#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10) into build-review-2/, after the build of the
# deploy file. Needs its packages and no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
mkdir -p build-review-2
rm -f build-review-2/case-*
for case in review/[6-9]/case.cpp review/10/case.cpp; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Iinclude -Isrc -Itests -DMARBLEWOOD_PROGRAM='"build/marblewood"' \
        -o "build-review-2/case-$number" "$case" src/net/resp/parser.cpp src/net/nvme/pdu.cpp -lfmt -pthread &
done
wait
for case in review/[6-9]/case.cpp review/10/case.cpp; do
    [ -f "$case" ] || continue
    [ -x "build-review-2/case-$(basename "$(dirname "$case")")" ]
done
