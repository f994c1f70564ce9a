#!/usr/bin/env bash
# Measures the processor time of a VM when idle and for each statement, with log
# lines (vm-0) and without (vm-1). Prints the results of both VMs, which run at
# the same time and use the same platform emulator.
#
#   scripts/experiments/statement_cost.sh [RATE [SECONDS]]
set -euo pipefail
cd "$(dirname "$0")/../.."
rate=${1:-800} seconds=${2:-20}
state=build/statement-cost
rm -rf "$state" && mkdir -p "$state"
cat >"$state/fleet.ini" <<'INI'
[fleet]
version = 1
[group g]
connections = 60
[route reads]
group = g
consistency = own-writes
max_age_ms = 2500
[account a]
keys = key
rate = 100000
INI
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; wait 2>/dev/null' EXIT
build/release/platform-emulator --configuration="$state/fleet.ini" \
    --folder="$state" --vms=2 --base_port=23000 --first_vm_port=23100 \
    --slots=20 --work_ms=1 &
started+=($!)
sleep 0.5
printf '[log]\nstatement_lines = 0\nevent_lines = 0\n' >"$state/vm-1.ini"
for vm in 0 1; do
    build/release/oleander-vm --settings="$state/vm-$vm.toml" \
        --own_settings="$state/vm-$vm.ini" >"$state/vm-$vm.log" &
    started+=($!)
done
sleep 3
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
hertz=$(getconf CLK_TCK)
report() {
    for vm in 0 1; do
        now=$(ticks "${started[vm + 1]}")
        awk -v vm="$vm" -v spent=$((now - before[vm])) -v hz="$hertz" \
            -v s="$1" -v n="$2" 'BEGIN {
            printf "vm-%d %s: %.4f of a core", vm, n ? "loaded" : "idle", \
                spent / hz / s
            if (n) printf ", %.1f us a statement", spent / hz / n * 1e6
            print "" }'
    done
}
before=("$(ticks "${started[1]}")" "$(ticks "${started[2]}")")
sleep 10
report 10 0
before=("$(ticks "${started[1]}")" "$(ticks "${started[2]}")")
build/release/oleander-load --configuration="$state/fleet.ini" \
    --fleet=127.0.0.1:23100 --other_fleet=127.0.0.1:23110 --rate="$rate" \
    --seconds="$seconds" --write_share=0.2
report "$seconds" $((rate * seconds))
