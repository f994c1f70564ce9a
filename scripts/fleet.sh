#!/usr/bin/env bash
# Starts a demo fleet on loopback as plain processes, and stops it again.
#
#   scripts/fleet.sh start head-office|plant|FILE [VMS_PER_DOMAIN]
#   scripts/fleet.sh kill NAME      ends one process by its id
#   scripts/fleet.sh restart NAME   starts a target again, with its log
#   scripts/fleet.sh stop
#
# State is kept in build/fleet: settings, logs, keys, and a process id per
# name in pids/. OLEANDER_BUILD names the folder of the programs,
# OLEANDER_TARGET_FLAGS adds flags for the target stand-ins.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
programs=${OLEANDER_BUILD:-$root/build/release}
state=${OLEANDER_STATE:-$root/build/fleet}
platform=127.0.0.1:7000

launch() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$state/logs/$name" 2>&1 &
    echo $! >"$state/pids/$name"
}

value() { # FILE SECTION KEY
    awk -v section="[$2]" -v key="$3" -F' = ' \
        '$0 == section {in_section = 1; next} /^\[/ {in_section = 0}
         in_section && $1 == key {print $2}' "$1"
}

start_target() { # FLEET_FILE NAME FIRST_PRIMARY
    local address slots connections
    address=$(value "$1" "target $2" address)
    slots=$(value "$1" "target $2" slots)
    connections=$(value "$1" "target $2" connections)
    # shellcheck disable=SC2086
    launch "$2" "$programs/target-standin" --listen="$address" \
        --primary="$3" --slots="$slots" --connections="$connections" \
        --state="$state/targets/$2" ${OLEANDER_TARGET_FLAGS:-}
}

start_targets() { # FLEET_FILE
    local primary="" database="" previous="" first_primary=""
    while read -r name; do
        database=$(value "$1" "target $name" database)
        local address
        address=$(value "$1" "target $name" address)
        if [ "$database" = "$previous" ]; then
            first_primary=$primary
        else
            first_primary=""
            primary=$address
            previous=$database
        fi
        start_target "$1" "$name" "$first_primary"
    done < <(sed -n 's/^\[target \(.*\)\]$/\1/p' "$1")
}

start_vms() { # FLEET_FILE VMS_PER_DOMAIN
    local number=0 domain
    : >"$state/entries"
    : >"$state/admins"
    while read -r domain; do
        for i in $(seq 1 "$2"); do
            number=$((number + 1))
            local id=${domain,,}-$i
            local caller=127.0.0.1:$((7200 + number))
            local peer=127.0.0.1:$((7300 + number))
            local admin=127.0.0.1:$((7400 + number))
            cat >"$state/settings/$id.ini" <<SETTINGS
[node]
id = $id
failure_domain = $domain
listen = $caller
peer_listen = $peer
admin_listen = $admin
threads = ${OLEANDER_THREADS:-2}

[platform]
address = $platform
SETTINGS
            curl -sf -X POST "http://$platform/register" -d "{\"id\":\"$id\",\
\"address\":\"$caller\",\"peer_address\":\"$peer\",\
\"failure_domain\":\"$domain\"}" >/dev/null
            launch "$id" "$programs/oleandergraded" \
                --settings="$state/settings/$id.ini"
            echo "$caller" >>"$state/entries"
            echo "$id $admin" >>"$state/admins"
        done
    done < <(value "$1" fleet failure_domains | tr ',' '\n' | tr -d ' ')
}

first_admin() { head -1 "$state/admins" | cut -d' ' -f2; }

control() { "$programs/oleanderctl" --node="$(first_admin)" "$@"; }

wait_until() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "timed out: $*" >&2
            return 1
        fi
        sleep 0.2
    done
}

all_ready() {
    local admin version versions=""
    while read -r _ admin; do
        local status
        status=$("$programs/oleanderctl" --node="$admin" --json status)
        [[ $status == *'"may_serve":true'* ]] || return 1
        [[ $status != *'"lead":""'* ]] || return 1
        version=$(grep -o '"version":[0-9]*' <<<"$status")
        [ "${versions:=$version}" = "$version" ] || return 1
    done <"$state/admins"
    [ "$(control --json status | grep -o '"steady":true' | wc -l)" -gt 0 ]
}

issue_keys() { # FLEET_FILE
    : >"$state/keys"
    local account
    while read -r account; do
        [ "$account" = open ] && continue
        local key
        key=$(control key issue "$account" | sed -n 's/^key: //p')
        echo "$account $key" >>"$state/keys"
    done < <(sed -n 's/^\[account \(.*\)\]$/\1/p' "$1")
}

start() {
    local fleet=$1
    [ -f "$fleet" ] || fleet=$root/examples/$1/fleet.ini
    rm -rf "$state"
    mkdir -p "$state/targets" "$state/logs" "$state/pids" "$state/settings"
    echo "$fleet" >"$state/fleet_file"
    launch platform "$programs/platform-standin" --listen="$platform"
    wait_until 5 curl -sf -X POST "http://$platform/stats"
    start_targets "$fleet"
    start_vms "$fleet" "${2:-2}"
    wait_until 10 control status
    control apply "$fleet"
    wait_until 30 all_ready
    issue_keys "$fleet"
    wait_until 20 all_ready
    sed -n 's/^\[database \(.*\)\]$/\1/p' "$fleet" | paste -sd, \
        >"$state/databases"
}

stop() {
    local file
    for file in "$state"/pids/*; do
        kill -KILL "$(cat "$file")" 2>/dev/null || true
        rm -f "$file"
    done
}

case ${1:-} in
start) start "${2:-head-office}" "${3:-2}" ;;
kill) kill -KILL "$(cat "$state/pids/$2")" ;;
restart) start_target "$(cat "$state/fleet_file")" "$2" "none" ;;
stop) stop ;;
*)
    sed -n '2,11p' "$0"
    exit 2
    ;;
esac
