#!/usr/bin/env bash
# Fails if a name from the platform's protocols occurs in include/, src/ or
# programs/: only platform/ may depend on these protocols. The emulator and the
# tests are not searched, since they implement the protocols, too.
set -euo pipefail
cd "$(dirname "$0")/.."
names='kv-(key|range|watch|txn|lease|keep)|Oleandergrade-|MaxStalenessMs'
names+='|RouteType|ApiKeys|RatePerS|TxIdleMs|TimeoutMs|TargetLatencyMs|DbRole'
names+='|WarmupLeftMs|TtlMs|TtlMinMs|AsOf|HasMore|CreateRev|Precondition'
names+='|NOSUCHSTMT|WRONGNODE|CONNLIMIT|INDOUBT|NOAUTH|NODB|READONLY'
names+='|bounded_staleness|read_your_writes|QuotaWindowS|QuotaSlack|GraceS'
names+='|ConfigApplyMs|NodeName|InternalPorts|CloudApi|SyncReplicas|MaxConns'
if grep -rnE "$names" include src programs --include='*.?pp'; then
    echo "names of the platform belong into platform/" >&2
    exit 1
fi
