#!/usr/bin/env bash
# Measures what the daemons of a fleet without callers spend: processor time
# and resident memory each.
#
#   scripts/experiments/idle_cpu.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/../.."
state=${OLEANDER_STATE:-build/fleet}
seconds=${1:-10}
trap 'scripts/fleet.sh stop' EXIT
scripts/fleet.sh start head-office 2 >/dev/null
sleep 3
ticks() { awk '{print $14 + $15}' "/proc/$(cat "$state/pids/$1")/stat"; }
declare -A before
while read -r vm _; do before[$vm]=$(ticks "$vm"); done <"$state/admins"
sleep "$seconds"
while read -r vm _; do
    used=$(($(ticks "$vm") - before[$vm]))
    memory=$(awk '/VmRSS/ {print $2}' "/proc/$(cat "$state/pids/$vm")/status")
    awk -v vm="$vm" -v used="$used" -v hz="$(getconf CLK_TCK)" \
        -v seconds="$seconds" -v memory="$memory" 'BEGIN {
        printf "%s: %.2f%% of a core, %d KB\n", vm, 100 * used / hz / seconds, memory}'
done <"$state/admins"
