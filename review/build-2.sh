#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10) into build-review-2/, after the build of the
# deploy file. Needs its packages and no network. The sources stand in review/common-2/, as review/build.sh
# builds every source in a case's folder.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
mkdir -p build-review-2
rm -f build-review-2/case-*
for source in review/common-2/case-*.cpp; do
    program="build-review-2/$(basename "$source" .cpp)"
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Iinclude -Isrc -Itests -DMARBLEWOOD_PROGRAM='"build/marblewood"' \
        -o "$program" "$source" src/net/resp/parser.cpp src/net/nvme/pdu.cpp -lfmt -pthread &
done
wait
for source in review/common-2/case-*.cpp; do
    [ -x "build-review-2/$(basename "$source" .cpp)" ]
done
