#!/bin/sh
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-case ] || exit 2
exec target/review/release/review-case silent-watches review/5
