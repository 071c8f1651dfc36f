#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chalkway-edge ] && [ -x target/review/case3 ] || { echo "not built: deploy file, review/build.sh" >&2; exit 2; }
exec target/review/case3
