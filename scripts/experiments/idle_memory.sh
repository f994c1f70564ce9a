#!/usr/bin/env bash
# Measures the memory of a daemon per idle caller connection that has sent one
# request, at several numbers of connections.
#
#   scripts/experiments/idle_memory.sh
set -euo pipefail
cd "$(dirname "$0")/../.."
state=${OLEANDER_STATE:-build/fleet}
trap 'scripts/fleet.sh stop' EXIT
scripts/fleet.sh start head-office 1 >/dev/null
vm=$(head -1 "$state/admins" | cut -d' ' -f1)
python3 - "$(head -1 "$state/entries")" "$(cat "$state/pids/$vm")" <<'PYTHON'
import socket, sys, time
host, port = sys.argv[1].split(":")
pid = sys.argv[2]
request = b"GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n"

def resident_kb():
    for line in open("/proc/%s/status" % pid):
        if line.startswith("VmRSS"):
            return int(line.split()[1])

points = [(0, resident_kb())]
sockets = []
for count in (1000, 2000, 4000):
    while len(sockets) < count:
        each = socket.create_connection((host, int(port)))
        each.sendall(request)
        each.recv(4096)
        sockets.append(each)
    time.sleep(1)
    points.append((count, resident_kb()))
for count, kb in points:
    print("%5d connections: %d KB resident" % (count, kb))
n = len(points)
sx = sum(x for x, _ in points); sy = sum(y for _, y in points)
sxx = sum(x * x for x, _ in points); sxy = sum(x * y for x, y in points)
slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
offset = (sy - slope * sx) / n
error = max(abs(offset + slope * x - y) / y for x, y in points)
print("%.1f KB + %.2f KB a connection, error %.1f%%" % (offset, slope, 100 * error))
PYTHON
