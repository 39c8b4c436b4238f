#!/bin/bash
# Formatter over the whole tree, linter over the rooms that are held to it; needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

mapfile -t sources < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${sources[@]}"

linted=$(git ls-files 'src/distribution/*.cpp' 'src/overload/*.cpp' 'src/net/lists/*.cpp' 'src/lab/scale/*.cpp' \
    'src/app/*.cpp' src/net/nvme/front.cpp src/config/decode.cpp src/config/distribution.cpp src/config/operations.cpp src/lab/process.cpp \
    src/core/request_dispatcher.cpp src/core/request_log.cpp src/net/control/control.cpp src/net/resp/front.cpp src/net/session.cpp \
    src/net/clients.cpp src/net/eviction_order.cpp src/net/discovery/discovery.cpp src/net/handover/handover.cpp)
echo "$linted" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" 2>/dev/null
echo "formatter: ${#sources[@]} files; linter: $(echo "$linted" | wc -l) files"
