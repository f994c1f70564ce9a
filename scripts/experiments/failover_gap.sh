#!/usr/bin/env bash
# Kills primaries of a running fleet and measures, for a caller that waits,
# the time from its last acknowledged write before to its first one after.
#
#   scripts/experiments/failover_gap.sh ROUNDS
#
# Each round kills the primary of every database by process id and starts it
# again with its log. Prints the gap of each kill in milliseconds, then the
# median, the worst and the writes that were refused or of unknown outcome.
set -euo pipefail
cd "$(dirname "$0")/../.."
state=${OLEANDER_STATE:-build/fleet}
programs=${OLEANDER_BUILD:-build/release}
rounds=${1:-17}
admin=$(head -1 "$state/admins" | cut -d' ' -f2)
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
head -1 "$state/keys" >"$results/key"

primary_of() {
    "$programs/oleanderctl" --node="$admin" --json status |
        grep -o "\"database\":\"$1\",\"term\":[0-9]*,\"primary\":\"[^\"]*\"" |
        sed 's/.*"primary":"//; s/"$//' | sort -u
}

databases=$(tr ',' ' ' <"$state/databases")
for round in $(seq 1 "$rounds"); do
    victims=""
    loads=""
    for database in $databases; do
        "$programs/oleander-load" --entries="$(paste -sd, "$state/entries")" \
            --keys="$results/key" --databases="$database" --clients=1 \
            --writes=1 --seconds=4 --deadline_ms=5000 --seed="$round" \
            --report="$results/$database.$round" \
            >"$results/$database.$round.txt" &
        loads+=" $!"
    done
    sleep 1
    for database in $databases; do
        victim=$(primary_of "$database")
        victims+=" $victim"
        scripts/fleet.sh kill "$victim"
    done
    sleep 1.5
    for victim in $victims; do
        scripts/fleet.sh restart "$victim"
    done
    for load in $loads; do
        wait "$load" || echo "violations in round $round"
    done
done
cat "$results"/*.txt | grep -E "violation" | sort | uniq -c
grep -ho '"refusals":{[^}]*}' "$results"/* | sort | uniq -c
grep -ho '"unknown":[0-9]*' "$results"/* | cut -d: -f2 |
    awk '{n += $1} END {print "unknown outcomes: " n}'
grep -ho '"longest_write_gap_ms":[0-9.E+]*' "$results"/* | cut -d: -f2 |
    awk '{printf "%.0f\n", $1}' | sort -n >"$results/gaps"
paste -sd' ' "$results/gaps"
slowest=$(grep -ho '"slowest_write_ms":[^,]*,"slowest_write":"[^"]*"' \
    "$results"/* | sort -t: -k2 -g | tail -1 | sed 's/.*:"//; s/"$//')
echo "what the fleet did with the slowest write, $slowest:"
"$programs/oleanderctl" --node="$admin" explain "$slowest"
awk '{gap[NR] = $1} END {print NR " kills, median " gap[int((NR + 1) / 2)] \
    " ms, worst " gap[NR] " ms"}' "$results/gaps"
