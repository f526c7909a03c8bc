#!/bin/sh
# Plays the case; see claim.txt. Exit: 1 broken, 0 held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/case-7 ] && [ -x target/almondlinkd/almondlinkd ] || exit 2
timeout 110 target/review-2/case-7 . "$here"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
