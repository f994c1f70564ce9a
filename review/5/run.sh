#!/usr/bin/env bash
# Runs the case once, after the build of deploy/system.toml and
# review/build.sh. TROUBLE=0 leaves the disruption out. Writes record.txt here.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review/review-stand ] && [ -x target/oleander-vm ] || exit 2
exec build/review/review-stand prepared review/5 "${TROUBLE:-1}"
