#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start, into build/review. The
# VMs themselves come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/tools -B build/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build/review --target review-stand
