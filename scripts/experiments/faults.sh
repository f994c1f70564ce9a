#!/usr/bin/env bash
# Runs one fault against a fresh fleet under load, and reports what the callers
# saw: refusals by code, the worst-served account, and violations.
#
#   scripts/experiments/faults.sh SCENARIO [PROFILE]
#
# Scenarios: steady, platform-down, platform-slow, lost-answers, pause-lead,
# kill-vm, stop-vm, noisy, withdraw, race, cut-domain, transactions,
# leave-target.
# Every account sends 0.7 of its rate, but for the noisy one.
set -euo pipefail
cd "$(dirname "$0")/../.."
scenario=$1
profile=${2:-head-office}
programs=${OLEANDER_BUILD:-build/release}
state=${OLEANDER_STATE:-build/fleet}
fleet=examples/$profile/fleet.ini
trap 'scripts/fleet.sh stop' EXIT
scripts/fleet.sh start "$profile" 2 >/dev/null
sleep 3

rates() { # NOISY_ACCOUNT FACTOR
    awk -v noisy="$1" -v factor="$2" -F' = ' '
        /^\[account / {name = substr($0, 10, length($0) - 10)}
        $1 == "rate" && name != "open" {
            share = name == noisy ? factor : 0.7
            printf "%s%s=%g", comma, name, $2 * share
            comma = ","
        }' "$fleet"
}

platform() { curl -s -X POST 127.0.0.1:7000/fault -d "$1" >/dev/null; }

lead_of_first_domain() { cut -d' ' -f1 "$state/admins" | while read -r vm; do
    admin=$(awk -v vm="$vm" '$1 == vm {print $2}' "$state/admins")
    "$programs/oleanderctl" --node="$admin" --json status |
        grep -q '"leads":true' && echo "$vm" && break
done; }

ctl() { # VM ARGS...
    local admin
    admin=$(awk -v vm="$1" '$1 == vm {print $2}' "$state/admins")
    shift
    "$programs/oleanderctl" --node="$admin" "$@"
}

process() { cat "$state/pids/$1"; }

run_load() { # SECONDS FLAGS...
    "$programs/oleander-load" --entries="$(paste -sd, "$state/entries")" \
        --keys="$state/keys" --databases="$(cat "$state/databases")" \
        --clients=6 --seconds="$1" --rates="$(rates "${noisy:-none}" "${factor:-0.7}")" \
        --noisy="${noisy:-}" --report="$state/report.json" "${@:2}" || true
}

case $scenario in
steady) run_load 15 ;;
platform-down)
    (sleep 3; platform '{"down":true}'; sleep 20; platform '{"down":false}') &
    run_load 30
    ;;
platform-slow)
    platform '{"slow_ms":400}'
    run_load 15
    ;;
lost-answers)
    (for _ in 1 2 3 4 5; do sleep 2; platform '{"lose_answers":5}'; done) &
    run_load 15
    ;;
pause-lead)
    lead=$(lead_of_first_domain)
    (sleep 4; kill -STOP "$(process "$lead")"; sleep 5
        kill -CONT "$(process "$lead")") &
    run_load 15
    ;;
kill-vm)
    (sleep 4; kill -KILL "$(process "$(lead_of_first_domain)")") &
    run_load 15
    ;;
stop-vm)
    (sleep 4; kill -TERM "$(process "$(lead_of_first_domain)")") &
    run_load 15
    ;;
cut-domain)
    # The platform gives no answer to one domain's calls; its peers still do.
    domain=$(sed -n 's/^failure_domains = \([^,]*\),.*/\1/p' "$fleet")
    (sleep 3; platform "{\"cut_domains\":\"$domain\"}"; sleep 10
        platform '{"cut_domains":""}') &
    run_load 18
    ;;
noisy)
    for factor in 0.7 3 10; do
        noisy=$(awk 'NR == 2 {print $1}' "$state/keys")
        echo "== $noisy sends $factor times its rate"
        run_load 8
        sleep 1
    done
    ;;
withdraw)
    read -r account key <"$state/keys"
    id=${key%%.*}
    database=$(cut -d, -f1 "$state/databases")
    first=$(cut -d' ' -f1 "$state/admins" | head -1)
    ctl "$first" key withdraw "$id"
    start=$(date +%s%N)
    for entry in $(cat "$state/entries"); do
        until curl -s "http://$entry/v1/read" -H "Oleander-Key: $key" -d \
            "{\"database\":\"$database\",\"statement\":{\"key\":\"k\"}}" |
            grep -q key_withdrawn; do sleep 0.01; done
        echo "$entry refuses $account's key $((($(date +%s%N) - start) / 1000000)) ms after the command returned"
    done
    ;;
transactions)
    run_load 15 --transactions=0.2
    ;;
leave-target)
    database=$(cut -d, -f1 "$state/databases")
    first=$(cut -d' ' -f1 "$state/admins" | head -1)
    sed "s/^\[target $database-a\]/&\nleaving = yes/" "$fleet" \
        >"$state/leaving.ini"
    (sleep 4; ctl "$first" apply "$state/leaving.ini"; sleep 3
        curl -s -X POST "http://$(awk -F' = ' -v section="[target $database-a]" \
            '$0 == section {found = 1} found && $1 == "address" {print $2; exit}' \
            "$fleet")/dump" | grep -o '"statements":[0-9]*'
        sleep 3
        curl -s -X POST "http://$(awk -F' = ' -v section="[target $database-a]" \
            '$0 == section {found = 1} found && $1 == "address" {print $2; exit}' \
            "$fleet")/dump" | grep -o '"statements":[0-9]*') &
    run_load 15
    ctl "$first" --json status | grep -o "\"database\":\"$database\",[^}]*" |
        head -1
    ;;
race)
    first=$(cut -d' ' -f1 "$state/admins" | head -1)
    last=$(cut -d' ' -f1 "$state/admins" | tail -1)
    sed 's/^rate = 200$/rate = 201/' "$fleet" >"$state/one.ini"
    sed 's/^rate = 200$/rate = 202/' "$fleet" >"$state/two.ini"
    for _ in 1 2 3 4 5 6 7 8; do
        ctl "$first" apply "$state/one.ini" &
        ctl "$last" apply "$state/two.ini" &
        wait
        sleep 1
    done 2>&1 | sort | uniq -c
    ;;
*)
    echo "unknown scenario '$scenario'" >&2
    exit 2
    ;;
esac
wait
