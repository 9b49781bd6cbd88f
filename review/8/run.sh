#!/bin/sh
# Runs case 8. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# It needs review/build-2.sh and the build of the deploy file.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/kingcupstiled ] || exit 2
exec target/review/stand 8 review/8
