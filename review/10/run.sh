#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-standins-2
if [ ! -x "$program" ] || [ ! -x target/release/crocusd ]; then
    echo "build first: the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
# TROUBLE=0 in the environment leaves the disruption out.
exec "$program" impossible-item target/release/crocusd review/10
