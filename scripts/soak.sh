#!/usr/bin/env bash
# Runs the soak test with COUNT seeds from FIRST on, AT-A-TIME of them in
# parallel, each with SECONDS of fault injection (defaults: 1, 50, 4 and 12).
# Even seeds run a large fleet, whose reports are relayed and whose VMs share
# sessions at targets; in every other one of them all VMs follow the store. Keeps
# the logs of seeds that failed and deletes the others.
#
#   scripts/soak.sh [FIRST [COUNT [SECONDS [AT-A-TIME]]]]
set -uo pipefail
cd "$(dirname "$0")/.."
first=${1:-1} count=${2:-50} seconds=${3:-12} jobs=${4:-4}
state=build/soak
mkdir -p "$state"
run_seed() {
    local seed=$1
    local folder=$state/seed-$seed
    rm -rf "$folder" && mkdir -p "$folder"
    local fleet=(--vms=6 --domains=a,b,c)
    if ((seed % 2 == 0)); then
        fleet=(--vms=12 --domains=a,b)
        ((seed % 4 == 2)) && fleet=(--vms=12 --domains=a,b,c,d,e,f)
    fi
    if [ -n "${EARLIER_PROGRAMS:-}" ]; then
        fleet+=(--earlier_programs="$EARLIER_PROGRAMS")
        # The earlier build takes other sizes of fleets for large ones.
        ((seed % 4 == 0)) && fleet+=(--vms=17 --domains=a,b,c)
    fi
    if build/release/tests/oleander-soak --programs=build/release \
        --folder="$folder" --seed="$seed" --seconds="$seconds" "${fleet[@]}" \
        2>"$folder/soak.log"; then
        tail -1 "$folder/soak.log"
        rm -rf "$folder"
    else
        echo "seed $seed: logs in $folder"
        return 1
    fi
}
export -f run_seed
export state seconds
seq "$first" $((first + count - 1)) | xargs -P "$jobs" -I{} bash -c 'run_seed {}'
