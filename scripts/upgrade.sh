#!/usr/bin/env bash
# Runs the soak test with VMs of this build and of an earlier one, which each VM
# draws at each start. Builds the earlier one, by default the version that
# deploy/system.toml names as production, in a work tree below build/.
#
#   scripts/upgrade.sh [COMMIT [FIRST [COUNT [SECONDS [AT-A-TIME]]]]]
set -euo pipefail
cd "$(dirname "$0")/.."
production=$(sed -n 's/^production = "\(.*\)"/\1/p' deploy/system.toml)
commit=${1:-$production}
if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
    echo "commit $commit is not in this clone's history: not run"
    exit 0
fi
folder=build/earlier/$(git rev-parse --short=12 "$commit")
if [ ! -d "$folder" ]; then
    git worktree prune
    git worktree add --detach "$folder" "$commit" >/dev/null
fi
cmake -S "$folder" -B "$folder/build" -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DOLEANDER_TESTS=OFF >/dev/null
cmake --build "$folder/build" --target oleander-vm >/dev/null
EARLIER_PROGRAMS=$PWD/$folder/build scripts/soak.sh "${@:2}"
