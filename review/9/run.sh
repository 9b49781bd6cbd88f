#!/bin/sh
# Runs case 9. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec target/review/stand 9 review/9
