#!/bin/sh
# Builds the stand-ins of all cases into review/bin. Needs what the build of the deploy file needs, and no more.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]*/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -g1 -Wall -Wextra -I src -I include "$source" src/net/resp/parser.cpp \
        -DMARBLEWOOD_PROGRAM='"build/marblewood"' -o "review/bin/$name" -lfmt -lpthread
done
