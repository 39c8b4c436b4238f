#!/bin/bash
# Formatter over the whole tree, linter over the rooms that are held to it; needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

mapfile -t sources < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${sources[@]}"

linted=$(git ls-files 'src/admin/*.cpp' 'src/app/*.cpp' 'src/cells/*.cpp' 'src/core/*.cpp' 'src/discovery/*.cpp' \
    'src/distribution/*.cpp' 'src/gossip/*.cpp' 'src/hot_restart/*.cpp' 'src/list_distribution/*.cpp' 'src/overload/*.cpp' 'src/policy/*.cpp' 'src/net/cells/*.cpp' \
    'src/net/link/*.cpp' 'src/lab/scale/*.cpp' src/config/decode.cpp src/config/distribution.cpp src/config/operations.cpp \
    src/lab/process.cpp src/net/answer_delivery.cpp src/net/clients.cpp src/net/clients_drain.cpp src/net/clients_log.cpp src/net/eviction_order.cpp src/net/input_turns.cpp src/net/nvme/association.cpp src/net/nvme/front.cpp src/net/nvme/node_port.cpp src/net/resp/front.cpp \
    src/net/resp/node_port.cpp src/net/resp/parser.cpp src/net/resp/request_ids.cpp src/net/session.cpp src/net/session_end.cpp src/net/session_output.cpp)
echo "$linted" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" 2>/dev/null
echo "formatter: ${#sources[@]} files; linter: $(echo "$linted" | wc -l) files"
