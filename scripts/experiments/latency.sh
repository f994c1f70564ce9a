#!/usr/bin/env bash
# Compares reads through a fleet with direct calls to a target stand-in, and
# reports the processor time of the daemons per statement.
#
#   scripts/experiments/latency.sh
#
# The targets answer at once and have slots to spare; the accounts have rates
# to spare. Uses a fleet of its own, of the Head Office deployment.
set -euo pipefail
cd "$(dirname "$0")/../.."
export OLEANDER_STATE=$PWD/build/latency-fleet
programs=${OLEANDER_BUILD:-build/release}
mkdir -p build
sed 's/^rate = .*/rate = 1000000/; s/^burst = .*/burst = 1000000/
     s/^slots = .*/slots = 64/; s/^connections = .*/connections = 400/' \
    examples/head-office/fleet.ini >build/latency.ini
export OLEANDER_TARGET_FLAGS="--service_us=0 --connect_ms=0"
trap 'scripts/fleet.sh stop' EXIT
scripts/fleet.sh start "$PWD/build/latency.ini" 2 >/dev/null
sleep 2
state=$OLEANDER_STATE
entries=$(paste -sd, "$state/entries")
head -1 "$state/keys" >"$state/one-key"

daemon_ticks() { # clock ticks used by all daemons
    local name total=0 used
    while read -r name _; do
        used=$(awk '{print $14 + $15}' "/proc/$(cat "$state/pids/$name")/stat")
        total=$((total + used))
    done <"$state/admins"
    echo "$total"
}

run() { # TITLE CLIENTS FLAGS...
    local title=$1 clients=$2 before after
    shift 2
    before=$(daemon_ticks)
    "$programs/oleander-load" --databases=survey-records-1 \
        --clients="$clients" --seconds=5 --report="$state/report" "$@" \
        >"$state/report.txt"
    after=$(daemon_ticks)
    python3 - "$title" "$state/report" $((after - before)) "$(getconf CLK_TCK)" <<'PYTHON'
import json, sys
title, path, ticks, per_second = sys.argv[1:]
report = json.load(open(path))
for account in report["accounts"].values():
    seconds = int(ticks) / int(per_second)
    line = "%-34s %8.0f/s  read p50 %.3f ms p99 %.3f ms  write p50 %.3f ms p99 %.3f ms" % (
        title, account["per_second"], account["read_p50_ms"],
        account["read_p99_ms"], account["write_p50_ms"], account["write_p99_ms"])
    if ticks != "0":
        line += "  daemons %.0f us a statement, %.0f statements/s a core" % (
            1e6 * seconds / account["ran"], account["ran"] / seconds)
    print(line, " violations %d" % len(report["violations"]))
PYTHON
}

run "direct reads, 1 caller" 1 --direct=127.0.0.1:7101
run "fleet reads, 1 caller" 1 --entries="$entries" --keys="$state/one-key" \
    --writes=0.001
run "fleet reads and writes, 1 caller" 1 --entries="$entries" \
    --keys="$state/one-key" --writes=0.2
run "direct reads, 32 callers" 32 --direct=127.0.0.1:7101
run "fleet reads, 32 callers" 32 --entries="$entries" \
    --keys="$state/one-key" --writes=0.001
