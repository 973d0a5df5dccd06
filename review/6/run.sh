#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin2 ] && [ -x ../../target/hemlock-edge ] || exit 2
exec ../bin/standin2 sessions ../.. .
