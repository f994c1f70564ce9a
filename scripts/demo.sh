#!/usr/bin/env bash
# Demonstrates the system on loopback: builds it, starts the emulated platform
# and six VMs, sends statements through different VMs, crashes a primary under
# load, and writes a plot of the load as an SVG image.
#
#   scripts/demo.sh [head-office|plant]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-head-office}
state=build/demo
vms=6
cmake --preset release >/dev/null
cmake --build --preset release
rm -rf "$state" && mkdir -p "$state"
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; wait' EXIT
build/release/platform-emulator --configuration="examples/$deployment.ini" \
    --folder="$state" --vms=$vms &
started+=($!)
sleep 0.5
sessions="" metrics=""
for ((i = 0; i < vms; i++)); do
    build/release/oleander-vm --settings="$state/vm-$i.toml" \
        --own_settings="$state/vm-$i.ini" >"$state/vm-$i.log" &
    started+=($!)
    sessions+=",127.0.0.1:$((22100 + i * 10))"
    metrics+=",127.0.0.1:$((22103 + i * 10))"
done
sessions=${sessions:1} metrics=${metrics:1}
until curl -sf "http://127.0.0.1:22101/" >/dev/null &&
    curl -sf "http://127.0.0.1:22151/" >/dev/null; do sleep 0.1; done
sleep 1
database=$(sed -n 's/^\[route \(.*\)\]/\1/p' "examples/$deployment.ini" | tail -1)
key=$(sed -n 's/^keys = //p' "examples/$deployment.ini" | tail -1)
echo "== a write to $database through vm-0"
answer=$(curl -s "http://127.0.0.1:22104/v1/write" -H "Oleander-Key: $key" -d "{
    \"database\": \"$database\",
    \"statement\": {\"key\": \"transect/17\", \"value\": \"3.2m\"}}")
echo "$answer"
session=$(sed 's/.*"session":"\([^"]*\)".*/\1/' <<<"$answer")
echo "== the same session reads its own write through vm-5"
curl -s "http://127.0.0.1:22154/v1/read" -H "Oleander-Key: $key" -d "{
    \"database\": \"$database\", \"session\": \"$session\",
    \"statement\": {\"key\": \"transect/17\"}}"
echo
echo "== the fleet"
build/release/oleanderctl status --vm="$metrics"
echo "== ten seconds of load; a primary crashes after three"
build/release/oleander-load --configuration="examples/$deployment.ini" \
    --fleet="$sessions" --rate=150 --seconds=10 --control=127.0.0.1:22002 \
    --faults="3 crash i-0-0; 7 restart i-0-0" --plot="$state/load.svg" \
    --json="$state/load.json"
request=$(sed -n 's/.*event=failed request=\([^ ]*\) .*/\1/p' "$state"/vm-*.log |
    head -1)
if [ -n "$request" ]; then
    echo "== what the logs tell of request $request"
    build/release/oleanderctl explain "$request" "$state"/vm-*.log
fi
echo "== the picture of the load: $state/load.svg"
