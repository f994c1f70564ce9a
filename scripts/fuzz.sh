#!/usr/bin/env bash
# Builds the fuzz target with clang and runs it for the given time (default:
# 60 s), starting from the corpus in tests/fuzz/corpus. Inputs that cause a
# failure are written to build/fuzz.
#
#   scripts/fuzz.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
    -DCMAKE_BUILD_TYPE=RelWithDebInfo -DOLEANDER_FUZZ=ON \
    -DCMAKE_CXX_FLAGS="-fsanitize=address,undefined,fuzzer-no-link" >/dev/null
cmake --build build/fuzz --target fuzz_outside_bytes
mkdir -p build/fuzz/found
build/fuzz/tests/fuzz_outside_bytes -max_total_time="${1:-60}" -max_len=4096 \
    -artifact_prefix=build/fuzz/ build/fuzz/found tests/fuzz/corpus
