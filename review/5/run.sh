#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption. It needs review/build.sh and the build of the
# deploy file.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/kit ] && [ -x ../../target/kingcupstiled ] || exit 2
TROUBLE="${TROUBLE:-1}" exec ../bin/kit stale .
