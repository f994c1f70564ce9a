#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Run it after the build of
# the deploy file, which has configured the folder target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target platform-emulator
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/bulk_writes \
    review/8/bulk_writes.cpp
