#!/usr/bin/env bash
# Builds, starts a demo fleet on loopback, sends statements through different
# entry VMs, and shows what happened.
#
#   scripts/demo.sh [head-office|plant]
set -euo pipefail
cd "$(dirname "$0")/.."
profile=${1:-head-office}
state=build/fleet
cmake --preset release >/dev/null
cmake --build --preset release
trap 'scripts/fleet.sh stop' EXIT
scripts/fleet.sh start "$profile" 2
database=$(cut -d, -f1 "$state/databases")
read -r account key <"$state/keys"
first=$(head -1 "$state/entries")
last=$(tail -1 "$state/entries")
echo "== $account writes through $first"
answer=$(curl -s "http://$first/v1/write" -H "Oleander-Key: $key" -d "{
    \"database\": \"$database\", \"request_id\": \"demo-1\",
    \"statement\": {\"key\": \"transect/17\", \"value\": \"3.2 m\"}}")
echo "$answer"
session=$(sed 's/.*"session":"\([^"]*\)".*/\1/' <<<"$answer")
request=$(sed 's/.*"request":"\([^"]*\)".*/\1/' <<<"$answer")
echo "== the same session reads its own write through $last"
curl -s "http://$last/v1/read" -H "Oleander-Key: $key" -d "{
    \"database\": \"$database\", \"session\": \"$session\",
    \"statement\": {\"key\": \"transect/17\"}}"
echo
echo "== what the fleet did with the write"
read -r _ admin <"$state/admins"
build/release/oleanderctl --node="$admin" explain "$request"
echo "== five seconds of load through all entry VMs"
build/release/oleander-load --entries="$(paste -sd, "$state/entries")" \
    --keys="$state/keys" --databases="$(cat "$state/databases")" --seconds=5
